import type { Dispatcher } from "undici";
import type { CallResult } from "./callResult.js";
import { sendCall } from "./sendCall.js";
import { sendChat } from "./sendChat.js";

interface AccountLoadOptions {
    readonly account: string;
    readonly key: string;
    /** Number of callers; each sends its next call when the previous one has ended. */
    readonly concurrency: number;
    /** Returns the entry address (host:port) for the next attempt. */
    readonly pickEntry: () => Promise<string>;
    /** Bounds of the response length in tokens; they must equal the settings of the engines. */
    readonly minTokens: number;
    readonly maxTokens: number;
    /** Fraction of the calls that go to the plain service, from 0 to 1. */
    readonly plainShare: number;
    /** Fraction of the chat calls that are streamed, from 0 to 1. */
    readonly streamShare: number;
    /** Fraction of the plain calls that are orders, which must not run twice; from 0 to 1. @default 1 */
    readonly orderShare?: number;
    /** Chat calls state a wrong `max_tokens`: ten times the maximum or a tenth of the minimum. @default false */
    readonly wrongHints?: boolean;
    /** Retries a call that was not run for certain, or that reached no instance. @default false */
    readonly retriesNotRun?: boolean;
    /** Remaining time in milliseconds that each attempt states. @default none */
    readonly deadlineMs?: number;
    /** Returns a random number from 0 to below 1. */
    readonly random: () => number;
    readonly dispatcher?: Dispatcher;
    /** Called with the result of each attempt. */
    readonly record: (result: CallResult) => void;
    /** Returns the id of the next call, which must be unique across all loads of a run. */
    readonly createId: () => string;
}

/** Pause after a failed attempt; callers that send again at once would run in a busy loop. */
const FAILURE_PAUSE_MS = 50;

/** Enough attempts to outlast any takeover; a fleet that refuses for longer has failed. */
const MAX_ATTEMPTS = 300;

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

    /** Stops starting calls and waits for those in flight. */
    async stop(): Promise<void> {
        this.#stopping = true;
        await Promise.all(this.#callers);
    }

    async #run(): Promise<void> {
        while (!this.#stopping) {
            const send = this.#planCall();
            let shouldSend = true;
            for (let attempts = 1; shouldSend; attempts += 1) {
                const result = await send(await this.#options.pickEntry());
                this.#options.record(result);
                shouldSend = this.#options.retriesNotRun === true && !result.correct
                    && attempts < MAX_ATTEMPTS
                    && (result.outcome === "not-run" || result.verdict === "unreachable");
                if (!result.correct) {
                    await new Promise(resolve => setTimeout(resolve, FAILURE_PAUSE_MS));
                }
            }
        }
    }

    /** Draws every parameter of a call except its entry, so that each retry sends the same request. */
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
            const isOrder = random() < (this.#options.orderShare ?? 1);
            return entry =>
                sendCall({
                    ...common,
                    entry,
                    service: "order-book",
                    method: isOrder ? "POST" : "GET",
                    path: isOrder ? "/orders" : `/orders?of=${encodeURIComponent(markers)}`,
                    body: isOrder ? JSON.stringify({ order: `print ticket stubs ${markers}` }) : "",
                    ...isOrder ? { idempotencyKey: id } : {},
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
