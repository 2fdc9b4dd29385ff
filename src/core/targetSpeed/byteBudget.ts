/** Bytes a second that the speeds in reports may take; a part of the control traffic may take 4 KB/s (release 17). */
const BYTES_PER_SECOND = 3900;
const MS_PER_SECOND = 1000;
/** Bytes that are saved up at most: those of a second, which are one entry of a summary to 90 receivers. */
const MAX_SAVED_BYTES = BYTES_PER_SECOND;

/** Bounds the bytes a second that one part of the reports takes. Times are monotonic milliseconds. */
export class ByteBudget {
    #saved = MAX_SAVED_BYTES;
    #updatedAt = 0;

    /** Creates a budget of which nothing has been used. */
    static create(): ByteBudget {
        return new ByteBudget();
    }

    /**
     * Returns the bytes that the next report to a number of receivers may take, for each of them.
     *
     * @param share Part of the saved bytes that it may take.
     */
    getAllowance(receivers: number, share: number, now: number): number {
        this.#update(now);
        return receivers > 0 ? this.#saved * share / receivers : 0;
    }

    /** Takes bytes that are sent. */
    take(bytes: number, now: number): void {
        this.#update(now);
        this.#saved -= bytes;
    }

    #update(now: number): void {
        const added = Math.max(0, now - this.#updatedAt) * BYTES_PER_SECOND / MS_PER_SECOND;
        this.#saved = Math.min(MAX_SAVED_BYTES, this.#saved + added);
        this.#updatedAt = now;
    }
}
