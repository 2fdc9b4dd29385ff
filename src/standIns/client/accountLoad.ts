import type { Dispatcher } from "undici";
import type { CallResult } from "./callResult.js";
import { sendCall } from "./sendCall.js";
import { sendChat } from "./sendChat.js";

interface AccountLoadOptions {
    readonly account: string;
    readonly key: string;
    /** Calls of this account at once; each starts when the one before it has ended. */
    readonly concurrency: number;
    /** Returns the entry address for the next call. */
    readonly pickEntry: () => Promise<string>;
    /** Bounds of the answer length with which the engines were started. */
    readonly minTokens: number;
    readonly maxTokens: number;
    /** Part of the calls that go to the plain service. */
    readonly plainShare: number;
    /** Part of the chat calls that are streamed. */
    readonly streamShare: number;
    /** Part of the plain calls that are orders, which must not run twice. @default 1 */
    readonly orderShare?: number;
    /** Chat calls state a length that is ten times too long or too short. @default false */
    readonly wrongHints?: boolean;
    /** Asks again after a failure that says that nothing was run. @default false */
    readonly retriesNotRun?: boolean;
    /** Remaining time that each call states, in milliseconds. @default none stated */
    readonly deadlineMs?: number;
    /** Returns a random number from 0 to below 1. */
    readonly random: () => number;
    readonly dispatcher?: Dispatcher;
    /** Gets every result as it comes in. */
    readonly record: (result: CallResult) => void;
    /** Names the calls; unique for each load. */
    readonly createId: () => string;
}

/** Pause after a refusal; a refused caller that asks at once would turn the experiment into a busy loop. */
const REFUSAL_PAUSE_MS = 50;

/** Enough to outlast every takeover; a fleet that refuses for longer has failed. */
const MAX_TRIES = 300;

/** Closed-loop callers of one client account. */
export class AccountLoad {
    readonly #options: AccountLoadOptions;
    readonly #callers: readonly Promise<void>[];
    #stopping = false;

    private constructor(options: AccountLoadOptions) {
        this.#options = options;
        this.#callers = Array.from({ length: options.concurrency }, () => this.#run());
    }

    /** Starts all callers. */
    static create(options: AccountLoadOptions): AccountLoad {
        return new AccountLoad(options);
    }

    /** Starts no further call and waits for those that run. */
    async stop(): Promise<void> {
        this.#stopping = true;
        await Promise.all(this.#callers);
    }

    async #run(): Promise<void> {
        while (!this.#stopping) {
            const send = this.#planCall();
            let again = true;
            for (let tries = 1; again; tries += 1) {
                const result = await send(await this.#options.pickEntry());
                this.#options.record(result);
                again = this.#options.retriesNotRun === true && !result.correct && tries < MAX_TRIES
                    && (result.outcome === "not-run" || result.verdict === "unreachable");
                if (!result.correct) {
                    await new Promise(resolve => setTimeout(resolve, REFUSAL_PAUSE_MS));
                }
            }
        }
    }

    /** Fixes everything about a call but its entry, so that a repeat is the same request. */
    #planCall(): (entry: string) => Promise<CallResult> {
        const { account, key, random, minTokens, maxTokens, dispatcher, deadlineMs } = this.#options;
        const id = this.#options.createId();
        const common = {
            account,
            key,
            ...dispatcher ? { dispatcher } : {},
            ...deadlineMs === undefined ? {} : { deadlineMs },
        };
        const markers = `[account=${account}] [request=${id}]`;
        if (random() < this.#options.plainShare) {
            const order = random() < (this.#options.orderShare ?? 1);
            return entry =>
                sendCall({
                    ...common,
                    entry,
                    service: "order-book",
                    method: order ? "POST" : "GET",
                    path: order ? "/orders" : `/orders?of=${encodeURIComponent(markers)}`,
                    body: order ? JSON.stringify({ order: `print ticket stubs ${markers}` }) : "",
                    ...order ? { idempotencyKey: id } : {},
                });
        }
        const stream = random() < this.#options.streamShare;
        const hint = random() < 0.5 ? maxTokens * 10 : Math.ceil(minTokens / 10);
        return entry =>
            sendChat({
                ...common,
                entry,
                model: "model-desk",
                prompt: `Proof the schedule ${markers}`,
                stream,
                minTokens,
                maxTokens,
                ...this.#options.wrongHints ? { hintedTokens: hint } : {},
            });
    }
}
