import { CollectedBytes } from "../core/bodies/collectedBytes.js";
import { CheckedAgent } from "./checkedAgent.js";
import type { OutgoingRequest } from "./outgoingRequest.js";
import { TargetExchange } from "./targetExchange.js";
import type { TargetExchangeOptions } from "./targetExchangeOptions.js";

interface CheckedExchangeOptions extends Omit<TargetExchangeOptions, "agent"> {
    /** Request whose response names the start of the target's process. */
    readonly question: OutgoingRequest;
    /** Returns the start that a response names, in Unix milliseconds; `undefined` if it names none. */
    readonly readStart: (body: string) => number | undefined;
    /** Decides by the start, which is `undefined` if the process names none, whether the request may be sent to it. */
    readonly isAccepted: (startMs: number | undefined) => boolean;
    /** Runs a handler; an unexpected error in it ends the request. */
    readonly runGuarded: (handler: () => void) => void;
    /** Called in place of `onFail` if the process must not get the request. */
    readonly onRefused: (reason: "misdirected" | "restarted") => void;
}

const OK = 200;
const MISDIRECTED = 421;
/** A report of a target with thousands of runs; a longer one is not read on. */
const MAX_ANSWER_BYTES = 262_144;
/** Targets occasionally close a connection after a response. */
const MAX_CONNECTIONS = 3;

/**
 * One request to one target that only the process with a certain start may get. The question and the request go on one
 * connection, so that the process that answers the question is the one that gets the request.
 */
export class CheckedExchange {
    readonly #options: CheckedExchangeOptions;
    #current: TargetExchange | undefined;
    #isSending = false;
    #hasReport = false;
    #connections = 0;

    private constructor(options: CheckedExchangeOptions) {
        this.#options = options;
    }

    /** Asks the question, and then sends the request. */
    static create(options: CheckedExchangeOptions): CheckedExchange {
        const exchange = new CheckedExchange(options);
        exchange.#sendQuestion();
        return exchange;
    }

    /** True once a byte of the request can have reached the target. */
    get isWritten(): boolean {
        return this.#isSending && (this.#current?.isWritten ?? false);
    }

    /** True once the connection has taken the whole request. */
    get isSent(): boolean {
        return this.#isSending && (this.#current?.isSent ?? false);
    }

    /** True if the target has refused nothing on the connection, so that a refusal without an identifier is meant for the request. */
    get isFirstOnConnection(): boolean {
        return this.#hasReport && (this.#current?.isFirstOnConnection ?? false);
    }

    /** Stops the request; no further callback follows. */
    abort(): void {
        this.#current?.abort();
    }

    /** Ends the exchange without a further callback, and reads the rest of a short response. */
    drain(): void {
        this.#current?.drain();
    }

    /** Stops reading the response until `resume`. */
    pause(): void {
        this.#current?.pause();
    }

    resume(): void {
        this.#current?.resume();
    }

    /** Stops reading from the connection until `resumeConnection`. */
    pauseConnection(): void {
        this.#current?.pauseConnection();
    }

    resumeConnection(): void {
        this.#current?.resumeConnection();
    }

    #sendQuestion(): void {
        const { address, question, readStart, runGuarded, onFail } = this.#options;
        this.#connections += 1;
        this.#isSending = false;
        const agent = CheckedAgent.create();
        const body = CollectedBytes.create(MAX_ANSWER_BYTES);
        let status = 0;
        this.#current = TargetExchange.create({
            address,
            agent,
            outgoing: question,
            onHead: ({ statusCode = 0 }) => {
                status = statusCode;
            },
            onData: chunk => {
                if (body.length + chunk.length > MAX_ANSWER_BYTES) {
                    this.#current?.abort();
                    onFail("report-too-long", false);
                    return;
                }
                body.append(chunk);
            },
            onEnd: () =>
                runGuarded(() => {
                    this.#hasReport = status === OK;
                    const startMs = this.#hasReport
                        ? readStart(body.join().toString())
                        : undefined;
                    this.#sendRequest(agent, status, startMs);
                }),
            onFail: reason => onFail(reason, false),
        });
    }

    #sendRequest(agent: CheckedAgent, status: number, startMs: number | undefined): void {
        const { isAccepted, onRefused, onFail } = this.#options;
        if (status === MISDIRECTED || !isAccepted(startMs)) {
            agent.destroy();
            onRefused(status === MISDIRECTED ? "misdirected" : "restarted");
            return;
        }
        this.#isSending = true;
        this.#current = TargetExchange.create({
            ...this.#options,
            agent,
            onFail: (reason, isWritten) => {
                if (!isWritten && this.#connections < MAX_CONNECTIONS) {
                    this.#sendQuestion();
                    return;
                }
                onFail(reason, isWritten);
            },
        });
    }
}
