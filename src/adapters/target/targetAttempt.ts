import type { Dispatcher } from "undici";
import { errors } from "undici";
import type { AttemptEnding } from "../../core/retry/attemptEnding.js";
import { isValidStatus } from "../../shared/isValidStatus.js";
import type { ResponseSink } from "./responseSink.js";
import type { AttemptResult } from "./attemptResult.js";
import type { AttemptRequest } from "./attemptRequest.js";

interface TargetAttemptOptions {
    readonly request: AttemptRequest;
    readonly sink: ResponseSink;
    readonly signal: AbortSignal;
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
    readonly onEnd: (result: AttemptResult) => void;
}

type AttemptHeaders = Record<string, string | string[] | undefined>;

const TOO_MANY_REQUESTS = 429;
const SERVICE_UNAVAILABLE = 503;

/** Tracks one attempt and classifies its ending. */
export class TargetAttempt implements Dispatcher.DispatchHandler {
    readonly #options: TargetAttemptOptions;
    #controller: Dispatcher.DispatchController | undefined;
    #isWritten = false;
    #isEnded = false;
    /** False if only the end of the connection delimits the response, which then looks complete when cut off. */
    #isFramed = false;
    #status: number | undefined;
    #targetState: "cold" | "warm" | undefined;
    /** Set when the ending is known before the connection reports it. */
    #ending: AttemptEnding | undefined;

    private constructor(options: TargetAttemptOptions) {
        this.#options = options;
        options.signal.addEventListener("abort", this.#onAbort);
    }

    /** Creates the handler for one dispatch. */
    static create(options: TargetAttemptOptions): TargetAttempt {
        return new TargetAttempt(options);
    }

    /** Called when a connection is ready and before the first byte is written. */
    onRequestStart(controller: Dispatcher.DispatchController): void {
        this.#controller = controller;
        if (this.#options.signal.aborted) {
            this.#abort({ kind: "not-written", reason: "caller-disconnected" });
            return;
        }
        if (this.#options.getNow() >= this.#options.request.startDeadline) {
            this.#abort({ kind: "not-written", reason: "start-deadline-passed" });
            return;
        }
        this.#isWritten = true;
    }

    onResponseStart(
        _controller: Dispatcher.DispatchController,
        status: number,
        headers: AttemptHeaders,
    ): void {
        if (status < 200 || this.#isEnded) {
            return;
        }
        if (!isValidStatus(status)) {
            this.#abort({ kind: "broken", reason: "status-invalid" });
            return;
        }
        if (headers["x-request-id"] !== this.#options.request.requestId) {
            this.#abort({ kind: "broken", reason: "answer-mismatched" });
            return;
        }
        const state = headers["x-target-state"];
        this.#targetState = state === "cold" || state === "warm" ? state : undefined;
        this.#status = status;
        this.#isFramed = headers["content-length"] !== undefined
            || headers["transfer-encoding"] !== undefined
            || status === 204 || status === 304 || this.#options.request.method === "HEAD";
        if (status === TOO_MANY_REQUESTS) {
            this.#ending = { kind: "refused", reason: "target-overloaded" };
            return;
        }
        if (status === SERVICE_UNAVAILABLE && headers["x-not-run"] === "true") {
            this.#ending = { kind: "refused", reason: "target-not-run" };
            return;
        }
        try {
            this.#options.sink.onHead(status, headers as Record<string, string | string[]>);
        }
        catch {
            // The head cannot be forwarded, for example because a header has characters that HTTP forbids.
            this.#abort({ kind: "broken", reason: "truncated" });
        }
    }

    onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
        // The body of a refusal is read and discarded, so that the connection can be reused.
        if (this.#isEnded || this.#ending) {
            return;
        }
        const verdict = this.#options.sink.onData(chunk);
        if (verdict === "faulty") {
            this.#abort({ kind: "broken", reason: "truncated" });
        }
        if (verdict === "wait") {
            controller.pause();
            this.#options.sink.onDrain(() => controller.resume());
        }
    }

    onResponseEnd(): void {
        this.#finish(
            this.#ending ?? (this.#options.sink.isComplete(this.#isFramed)
                ? { kind: "completed" }
                : { kind: "broken", reason: "truncated" }),
        );
    }

    onResponseError(_controller: Dispatcher.DispatchController | undefined, error: Error): void {
        this.#finish(this.#ending ?? this.#describeError(error));
    }

    readonly #onAbort = (): void => {
        this.#abort(
            this.#isWritten
                ? { kind: "broken", reason: "caller-disconnected" }
                : { kind: "not-written", reason: "caller-disconnected" },
        );
    };

    #describeError(error: Error): AttemptEnding {
        if (!this.#isWritten) {
            return { kind: "not-written", reason: "connection-failed" };
        }
        if (this.#status === undefined) {
            return { kind: "broken", reason: "reset" };
        }
        if (this.#options.sink.isComplete(false)) {
            return { kind: "completed" };
        }
        return {
            kind: "broken",
            reason: error instanceof errors.BodyTimeoutError ? "stalled" : "truncated",
        };
    }

    #abort(ending: AttemptEnding): void {
        this.#ending ??= ending;
        this.#controller?.abort(new Error(`The attempt was aborted: ${ending.kind}.`));
        this.#finish(this.#ending);
    }

    #finish(ending: AttemptEnding): void {
        if (this.#isEnded) {
            return;
        }
        this.#isEnded = true;
        this.#options.signal.removeEventListener("abort", this.#onAbort);
        this.#options.onEnd({ ending, targetState: this.#targetState, status: this.#status });
    }
}
