/** Weight of the newest sample in the moving average of the delay. */
const DELAY_WEIGHT = 0.25;
/** Event loop delay from which a process has more work than its processor share allows. */
const BUSY_DELAY_MS = 80;
/** Event loop delay below which a busy process counts as recovered. */
const RECOVERED_DELAY_MS = 30;
/** Weight of the newest sample in the moving average of the utilisation; small, so that single bursts do not count. */
const UTILISATION_WEIGHT = 0.15;
/**
 * Node.js accepts one connection per iteration of its event loop. If the loop is never idle, callers may wait to be
 * accepted, however short the iterations are.
 */
const BUSY_UTILISATION = 0.85;
const RECOVERED_UTILISATION = 0.6;

/** Tells from the delay and the utilisation of the event loop whether the process keeps up with its load. */
export class EventLoopMeter {
    #delayMs = 0;
    #utilisation = 0;
    #isBusy = false;

    /** Creates a meter that starts from an idle event loop. */
    static create(): EventLoopMeter {
        return new EventLoopMeter();
    }

    /** True while the event loop delay is more than callers should bear, or the event loop is hardly ever idle. */
    get isBusy(): boolean {
        return this.#isBusy;
    }

    /** Moving average of the event loop delay in milliseconds. */
    get averageDelayMs(): number {
        return this.#delayMs;
    }

    /** Moving average of the event loop utilisation, from 0 to 1. */
    get utilisation(): number {
        return this.#utilisation;
    }

    /** Records the delay of a timer in milliseconds and the event loop utilisation since the last call. */
    observe(delayMs: number, utilisation: number): void {
        this.#delayMs += (Math.max(0, delayMs) - this.#delayMs) * DELAY_WEIGHT;
        this.#utilisation += (utilisation - this.#utilisation) * UTILISATION_WEIGHT;
        this.#isBusy = this.#delayMs > (this.#isBusy ? RECOVERED_DELAY_MS : BUSY_DELAY_MS)
            || this.#utilisation > (this.#isBusy ? RECOVERED_UTILISATION : BUSY_UTILISATION);
    }
}
