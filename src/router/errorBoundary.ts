import { ErrorSeries } from "../shared/errorSeries.js";
import type { LogSink } from "./logSink.js";

interface ErrorBoundaryOptions {
    readonly log: Pick<LogSink, "write">;
    readonly onError: () => void;
    /** Called when uncaught errors come so often that the process may not serve any more. */
    readonly onFatal: () => void;
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
}

/** Characters of a stack trace in a log line. */
const MAX_STACK_LENGTH = 1000;

/** Confines unexpected errors to the message or request that caused them, with a log line and a counter. */
export class ErrorBoundary {
    readonly #options: ErrorBoundaryOptions;
    readonly #uncaught = ErrorSeries.create();

    private constructor(options: ErrorBoundaryOptions) {
        this.#options = options;
    }

    /** Creates a boundary that has seen no error. */
    static create(options: ErrorBoundaryOptions): ErrorBoundary {
        return new ErrorBoundary(options);
    }

    /** Runs a handler; if it throws, records the error and runs `onFailure`. However often that is, the process stays. */
    run(source: string, handler: () => void, onFailure: () => void = () => undefined): void {
        try {
            handler();
        }
        catch (error) {
            this.#record(source, error);
            onFailure();
        }
    }

    /** Records an error that no handler has caught, after which parts of the process may be in an undefined state. */
    recordUncaught(source: string, error: unknown): void {
        const { onFatal, getNow } = this.#options;
        this.#record(source, error);
        if (this.#uncaught.record(getNow())) {
            onFatal();
        }
    }

    #record(source: string, error: unknown): void {
        const stack = error instanceof Error ? error.stack ?? error.message : String(error);
        this.#options.log.write("internal-error", { source, reason: stack.slice(0, MAX_STACK_LENGTH) });
        this.#options.onError();
    }
}
