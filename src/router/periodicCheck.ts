import type { ErrorBoundary } from "./errorBoundary.js";

interface PeriodicCheckOptions {
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
    /**
     * Checks by name, in order. An unexpected error in one does not keep the others from running.
     *
     * @param delayMs Time in milliseconds by which the event loop has delayed this check.
     */
    readonly steps: Readonly<Record<string, (now: number, delayMs: number) => void>>;
    readonly errorBoundary: Pick<ErrorBoundary, "run">;
}

/** Interval of the deadline checks; callers tolerate half a second beyond a deadline. */
const CHECK_INTERVAL_MS = 40;

/** Runs the regular checks of a router and measures how late they are. */
export class PeriodicCheck {
    readonly #options: PeriodicCheckOptions;
    readonly #timer: NodeJS.Timeout;
    #nextAt: number;

    private constructor(options: PeriodicCheckOptions) {
        this.#options = options;
        this.#nextAt = options.getNow() + CHECK_INTERVAL_MS;
        this.#timer = setInterval(() => this.#run(), CHECK_INTERVAL_MS);
    }

    /** Starts the checks. */
    static create(options: PeriodicCheckOptions): PeriodicCheck {
        return new PeriodicCheck(options);
    }

    /** Ends the checks. */
    close(): void {
        clearInterval(this.#timer);
    }

    #run(): void {
        const now = this.#options.getNow();
        const delayMs = now - this.#nextAt;
        this.#nextAt = now + CHECK_INTERVAL_MS;
        const { steps, errorBoundary } = this.#options;
        for (const [source, run] of Object.entries(steps)) {
            errorBoundary.run(source, () => run(now, delayMs));
        }
    }
}
