/** With more uncaught errors than this within the window, a process may not be able to serve any more. */
const MAX_UNCAUGHT = 50;
const WINDOW_MS = 10_000;

/** Counts errors that no handler has caught. */
export class ErrorSeries {
    /** Monotonic times in milliseconds. */
    #errorsAt: readonly number[] = [];

    private constructor() {}

    /** Creates a series without errors. */
    static create(): ErrorSeries {
        return new ErrorSeries();
    }

    /**
     * Records an error. Returns whether too many have come in a short time; the count then begins anew.
     *
     * @param now Monotonic time in milliseconds.
     */
    record(now: number): boolean {
        this.#errorsAt = [...this.#errorsAt.filter(time => now - time < WINDOW_MS), now];
        const isTooMany = this.#errorsAt.length > MAX_UNCAUGHT;
        if (isTooMany) {
            this.#errorsAt = [];
        }
        return isTooMany;
    }
}
