/** Weight of the newest sample in the moving average. */
const WEIGHT = 0.25;
/** A process this late has more to do than its processor share allows. */
const BUSY_MS = 80;
/** Below this, a busy process counts as recovered. */
const RECOVERED_MS = 30;
/** Weight of the newest sample in the moving average of the utilisation, so that single bursts do not count. */
const UTILISATION_WEIGHT = 0.15;
/**
 * Node.js accepts one connection in each turn of its event loop. A loop that never rests may have callers wait to be
 * accepted, however short its turns are.
 */
const BUSY_UTILISATION = 0.85;
const RECOVERED_UTILISATION = 0.6;

/** Measures whether the process keeps up with its work: how late its timers fire, and whether its event loop ever rests. */
export class LagMeter {
    #averageMs = 0;
    #utilisation = 0;
    #isBusy = false;

    /** Creates a meter that has seen no delay. */
    static create(): LagMeter {
        return new LagMeter();
    }

    /** True while the process is late by more than callers should bear, or its event loop does not rest. */
    get isBusy(): boolean {
        return this.#isBusy;
    }

    /** Mean delay in milliseconds. */
    get averageMs(): number {
        return this.#averageMs;
    }

    /** Mean share of the time in which the event loop did not rest, from 0 to 1. */
    get utilisation(): number {
        return this.#utilisation;
    }

    /** Records by how many milliseconds a timer was late, and the utilisation of the event loop since the last call. */
    observe(lagMs: number, utilisation: number): void {
        this.#averageMs += (Math.max(0, lagMs) - this.#averageMs) * WEIGHT;
        this.#utilisation += (utilisation - this.#utilisation) * UTILISATION_WEIGHT;
        this.#isBusy = this.#averageMs > (this.#isBusy ? RECOVERED_MS : BUSY_MS)
            || this.#utilisation > (this.#isBusy ? RECOVERED_UTILISATION : BUSY_UTILISATION);
    }
}
