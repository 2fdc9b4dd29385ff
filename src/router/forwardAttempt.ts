import type { Agent, IncomingMessage } from "node:http";
import type { TargetGrant } from "../core/routing/targetGrant.js";
import type { AnswerFacts } from "./answerFacts.js";
import type { CallerAnswer } from "./callerAnswer.js";
import type { CallerExchange } from "./callerExchange.js";
import { TargetExchange } from "./targetExchange.js";
import type { WireFormat } from "./wireFormat.js";

interface ForwardAttemptOptions {
    readonly grant: TargetGrant;
    readonly caller: CallerExchange;
    readonly answer: CallerAnswer;
    readonly wire: WireFormat;
    /** `false` opens a dedicated connection for this request. */
    readonly agent: Agent | false;
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
    /** True while the event loop is delayed or busy, so that events are batched before they are forwarded. */
    readonly isLate: () => boolean;
    readonly onFirstEvent: () => void;
    /** Called when the complete response has arrived. */
    readonly onWhole: (facts: AnswerFacts) => void;
    /** `not-written`: no byte was sent; `refused`: not executed by the target; `broken`: possibly executed. */
    readonly onFail: (kind: "not-written" | "refused" | "broken", reason: string) => void;
}

const OK = 200;
/** A third of the delay that the platform allows a router to add to an event (passMs, 300 ms); covers several events. */
const COLLECT_MS = 100;

/** One attempt to serve a request at one target. */
export class ForwardAttempt {
    readonly #options: ForwardAttemptOptions;
    #exchange: TargetExchange | undefined;
    #facts: AnswerFacts | undefined;
    #status = 0;
    #hasEvents = false;
    #lastDataAt: number;
    /** Monotonic time in milliseconds at which reading resumes; `undefined` while it is not paused. */
    #resumeAt: number | undefined;

    private constructor(options: ForwardAttemptOptions) {
        this.#options = options;
        this.#lastDataAt = options.getNow();
    }

    /** Creates an attempt; `send` starts it. */
    static create(options: ForwardAttemptOptions): ForwardAttempt {
        return new ForwardAttempt(options);
    }

    get grant(): TargetGrant {
        return this.#options.grant;
    }

    /** Status code of the target's response, 0 before its head. */
    get status(): number {
        return this.#status;
    }

    /** True once the first event has arrived. */
    get hasEvents(): boolean {
        return this.#hasEvents;
    }

    /** Monotonic time in milliseconds of the last data from the target, or of the start of the attempt. */
    get lastDataAt(): number {
        return this.#lastDataAt;
    }

    /** Sends the request. */
    send(): void {
        const { grant, caller, answer, wire, agent, getNow, onFail } = this.#options;
        const { entry } = grant.target;
        this.#exchange = TargetExchange.create({
            address: entry.address,
            agent,
            order: {
                method: caller.incoming.method ?? "GET",
                path: caller.incoming.url ?? "/",
                body: caller.body,
                headers: wire.buildTargetHeaders({
                    facts: caller.facts,
                    account: caller.request.account,
                    targetId: entry.id,
                    promptSource: grant.promptSource,
                    patienceMs: Math.max(1, Math.floor(caller.request.deadline - getNow())),
                    bodyLength: caller.body?.length,
                    lastEventId: answer.getLastEventId(),
                }),
            },
            onHead: head => this.#onHead(head),
            onData: chunk => this.#onData(chunk),
            onEnd: () => this.#onEnd(),
            onFail: (reason, isWritten) => onFail(isWritten ? "broken" : "not-written", reason),
        });
    }

    /** Resumes reading if the batching delay has passed, so that several events are read at once. */
    resumeDue(now: number): void {
        if (this.#resumeAt !== undefined && this.#resumeAt <= now) {
            this.#resumeAt = undefined;
            this.#exchange?.resumeConnection();
        }
    }

    /** Stops the attempt; no further callback follows. */
    abort(): void {
        this.#exchange?.abort();
    }

    #onHead(head: IncomingMessage): void {
        const { wire, caller, answer, getNow } = this.#options;
        const facts = wire.readAnswer(head);
        this.#facts = facts;
        this.#status = head.statusCode ?? 0;
        this.#lastDataAt = getNow();
        if (isRefusal(facts)) {
            // The body of a refusal is read so that the connection can be reused.
            return;
        }
        if (facts.requestId !== caller.request.requestId) {
            this.#fail("answer-mismatched");
            return;
        }
        if (answer.isStarted) {
            if (this.#status !== OK) {
                this.#fail("resume-refused");
            }
            return;
        }
        if (caller.request.route.kind === "stream" && this.#status === OK) {
            answer.startStream(this.#status, facts);
        }
    }

    #onData(chunk: Buffer): void {
        const { answer, getNow, isLate, onFirstEvent } = this.#options;
        if (!this.#facts || isRefusal(this.#facts)) {
            return;
        }
        this.#lastDataAt = getNow();
        if (!answer.isStarted) {
            if (!answer.append(chunk)) {
                this.#fail("answer-too-long");
            }
            return;
        }
        const hasWritten = answer.writeEvents(chunk, onDrain => {
            this.#exchange?.pause();
            onDrain(() => this.#exchange?.resume());
        });
        if (hasWritten && !this.#hasEvents) {
            this.#hasEvents = true;
            onFirstEvent();
        }
        else if (isLate()) {
            this.#resumeAt = this.#lastDataAt + COLLECT_MS;
            this.#exchange?.pauseConnection();
        }
    }

    #onEnd(): void {
        const { answer, onWhole, onFail } = this.#options;
        const facts = this.#facts;
        if (!facts) {
            onFail("broken", "no-head");
            return;
        }
        if (isRefusal(facts)) {
            onFail("refused", facts.isMisdirected ? "misdirected" : "target-full");
            return;
        }
        if (answer.isStarted && !answer.isWhole(facts)) {
            onFail("broken", "truncated");
            return;
        }
        onWhole(facts);
    }

    #fail(reason: string): void {
        this.abort();
        this.#options.onFail("broken", reason);
    }
}

function isRefusal(facts: AnswerFacts): boolean {
    return facts.isMisdirected || facts.isNotRun;
}
