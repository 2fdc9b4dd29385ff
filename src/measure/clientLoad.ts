import { Agent } from "undici";
import { v7 as createUuid } from "uuid";
import { AccountLoad } from "../standIns/client/accountLoad.js";
import type { CallResult } from "../standIns/client/callResult.js";
import { EntryDirectory } from "../standIns/client/entryDirectory.js";
import type { Fleet } from "../testing/fleet.js";
import { getAccountKey } from "../testing/getAccountKey.js";
import type { AccountPlan } from "./accountPlan.js";
import { answerLength } from "./answerLength.js";

interface ClientLoadOptions {
    readonly fleet: Fleet;
    readonly plans: readonly AccountPlan[];
    readonly random: () => number;
    /** @default false */
    readonly wrongHints?: boolean;
    /** Fraction of the plain calls that must not run twice. @default 1 */
    readonly orderShare?: number;
    /** Remaining time that each call states, in milliseconds. @default none stated */
    readonly deadlineMs?: number;
}

/** Interval between samples, which are taken at wall-clock times that are multiples of it. */
const SAMPLE_MS = 250;

/** The callers of a benchmark, all in this process. */
export class ClientLoad {
    readonly results: CallResult[] = [];
    /** Number of calls in progress at each sampling time. */
    readonly callsOpen = new Map<number, number>();
    readonly #loads: readonly AccountLoad[];
    readonly #agent = new Agent({ connections: 2_000, pipelining: 1, connect: { timeout: 5_000 } });
    #started = 0;
    #sampler: NodeJS.Timeout | undefined;

    private constructor(options: ClientLoadOptions) {
        const directory = EntryDirectory.create(options.fleet.entries);
        this.#loads = options.plans.map(plan => this.#startAccount(plan, directory, options));
        this.#startSampling();
    }

    /** Starts every caller. */
    static create(options: ClientLoadOptions): ClientLoad {
        return new ClientLoad(options);
    }

    /** Number of calls in progress. */
    get open(): number {
        return this.#started - this.results.length;
    }

    /** Starts no further calls and waits up to `withinMs` for those in progress. Returns how many did not end. */
    async stop(withinMs = 60_000): Promise<number> {
        clearTimeout(this.#sampler);
        const stopped = Promise.all(this.#loads.map(load => load.stop()));
        let timer: NodeJS.Timeout | undefined;
        const expired = new Promise(resolve => {
            timer = setTimeout(resolve, withinMs);
        });
        await Promise.race([stopped, expired]);
        clearTimeout(timer);
        const unanswered = this.open;
        await this.#agent.destroy();
        return unanswered;
    }

    #startAccount(plan: AccountPlan, directory: EntryDirectory, options: ClientLoadOptions): AccountLoad {
        const { fleet, random } = options;
        return AccountLoad.create({
            account: plan.name,
            key: getAccountKey(plan.name),
            concurrency: plan.concurrency,
            pickEntry: async () => {
                const entries = plan.instances.length > 0
                    ? plan.instances.map(name => fleet.getDaemon(name).address)
                    : await directory.listEntries();
                return entries[Math.floor(random() * entries.length)] ?? "";
            },
            ...answerLength,
            plainShare: plan.plainShare,
            streamShare: 0.5,
            orderShare: options.orderShare ?? 1,
            wrongHints: options.wrongHints ?? false,
            ...options.deadlineMs === undefined ? {} : { deadlineMs: options.deadlineMs },
            random,
            dispatcher: this.#agent,
            record: result => this.results.push(result),
            createId: () => {
                this.#started += 1;
                return createUuid();
            },
        });
    }

    #startSampling(): void {
        const now = Date.now();
        const at = Math.ceil((now + 1) / SAMPLE_MS) * SAMPLE_MS;
        this.#sampler = setTimeout(() => {
            this.callsOpen.set(at, this.open);
            this.#startSampling();
        }, at - now);
    }
}
