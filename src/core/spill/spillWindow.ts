/** Share of the headroom that a step opens. All instances step on the same reports, so a whole one would overshoot. */
const STEP_SHARE = 0.7;
/** A flow without a request for this long has stopped: several steps, so that a short lull does not end it. */
const IDLE_MS = 2000;

/**
 * Bounds the work that an instance may have in progress in another data centre for a service. Once for each exchange of
 * reports, the window follows what the instance uses, plus or minus a part of its share of the data centre's headroom. It
 * does not fall to what is used while it keeps requests back, as requests are whole and their work in progress varies.
 */
export class SpillWindow {
    /** Work that may be in progress, in units of the work that fills one target. */
    #size = 0;
    /** Largest use since the last step. */
    #peakUse = 0;
    /** True if the window has kept a request back since the last step. */
    #isLimiting = false;
    #stepAt: number | undefined;
    /** Work saved up while the window is smaller than a request. */
    #credit: number;
    #creditAt: number | undefined;
    #stepMs = 1;
    #lastLeftAt = Number.NEGATIVE_INFINITY;

    private constructor(phase: number) {
        this.#credit = phase;
    }

    /**
     * Creates a closed window.
     *
     * @param phase Credit of the start, from 0 to 1 of a request, so that instances with small windows do not send together.
     */
    static create(phase: number): SpillWindow {
        return new SpillWindow(phase);
    }

    /** True while requests leave. */
    isActive(now: number): boolean {
        return now - this.#lastLeftAt < IDLE_MS;
    }

    /**
     * Follows the load of the data centre.
     *
     * @param headroom Part of the headroom that is this instance's; negative if the data centre is filled.
     * @param stepMs Time in milliseconds until reports show the requests that a step has let through.
     */
    update(headroom: number, ownUse: number, stepMs: number, now: number): void {
        this.#peakUse = Math.max(this.#peakUse, ownUse);
        if (this.#stepAt !== undefined && now < this.#stepAt) {
            return;
        }
        const base = this.#isLimiting && headroom > 0 ? Math.max(this.#size, this.#peakUse) : this.#peakUse;
        this.#size = Math.max(0, base + STEP_SHARE * headroom);
        this.#isLimiting = false;
        this.#peakUse = ownUse;
        this.#stepMs = stepMs;
        this.#stepAt = now + stepMs;
    }

    /** Closes the window while the load of the data centre is not known. */
    close(): void {
        this.#size = 0;
        this.#peakUse = 0;
        this.#stepAt = undefined;
    }

    /**
     * Returns whether a request may leave.
     *
     * @param work Work of the request in units of the work that fills one target.
     * @param share Share of the window that the request may use.
     */
    has(work: number, ownUse: number, share: number, now: number): boolean {
        const size = this.#size * share;
        if (ownUse + work <= size) {
            return true;
        }
        this.#isLimiting = true;
        const elapsedMs = Math.max(0, now - (this.#creditAt ?? now));
        this.#credit = Math.min(1, this.#credit + this.#size / work * elapsedMs / this.#stepMs);
        this.#creditAt = now;
        return ownUse === 0 && size > 0 && this.#credit >= 1;
    }

    /** Records a request that leaves. */
    recordLeft(now: number): void {
        this.#lastLeftAt = now;
        this.#credit = 0;
        this.#creditAt = now;
    }
}
