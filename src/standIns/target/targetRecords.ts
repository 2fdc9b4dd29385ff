import type { Arrival } from "./arrival.js";
import type { TargetSample } from "./targetSample.js";

/** Records of a target, which tests and benchmarks compare with what callers saw. */
export class TargetRecords {
    readonly arrivals: Arrival[] = [];
    readonly samples: TargetSample[] = [];
    readonly #tokensByAccount = new Map<string, number>();
    #busySince = 0;
    #busyMs = 0;

    private constructor() {}

    /** Creates empty records. */
    static create(): TargetRecords {
        return new TargetRecords();
    }

    /** Records the arrival of a request. */
    addArrival(arrival: Arrival): Arrival {
        this.arrivals.push(arrival);
        return arrival;
    }

    /** Adds served tokens to a request and its account. */
    addTokens(arrival: Arrival, tokens: number): void {
        arrival.tokens += tokens;
        this.#tokensByAccount.set(
            arrival.account,
            (this.#tokensByAccount.get(arrival.account) ?? 0) + tokens,
        );
    }

    /** Records a change of the number of running requests. */
    recordRunning(running: number, now: number): void {
        if (running > 0 && this.#busySince === 0) {
            this.#busySince = now;
        }
        if (running === 0 && this.#busySince > 0) {
            this.#busyMs += now - this.#busySince;
            this.#busySince = 0;
        }
    }

    /** Returns the time in milliseconds during which at least one request was running. */
    sumBusyMs(now: number): number {
        return this.#busyMs + (this.#busySince > 0 ? now - this.#busySince : 0);
    }

    /** Records the state at a sampling time. */
    recordSample(atMs: number, running: number, bearable: number): void {
        this.samples.push({
            atMs,
            running,
            bearable,
            tokensByAccount: Object.fromEntries(this.#tokensByAccount),
        });
    }
}
