/** Weight of the newest sample in the moving average. */
const WEIGHT = 0.25;
/** A process this late has more to do than its processor share allows. */
const BUSY_MS = 80;
/** Below this, a busy process counts as recovered. */
const RECOVERED_MS = 30;

/** Measures how late the process does its work, from timers that fire late. */
export class LagMeter {
    #averageMs = 0;
    #isBusy = false;

    /** Creates a meter that has seen no delay. */
    static create(): LagMeter {
        return new LagMeter();
    }

    /** True while the process is late by more than callers should bear. */
    get isBusy(): boolean {
        return this.#isBusy;
    }

    /** Mean delay in milliseconds. */
    get averageMs(): number {
        return this.#averageMs;
    }

    /** Records by how many milliseconds a timer was late. */
    observe(lagMs: number): void {
        this.#averageMs += (Math.max(0, lagMs) - this.#averageMs) * WEIGHT;
        this.#isBusy = this.#averageMs > (this.#isBusy ? RECOVERED_MS : BUSY_MS);
    }
}
