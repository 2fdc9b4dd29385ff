import type { RoutedRequest } from "./routedRequest.js";

type SizedRequest = Pick<RoutedRequest, "outputTokens"> & {
    readonly route: Pick<RoutedRequest["route"], "name">;
};

/** Smoothed durations of a route's requests, as multiples of their nominal durations. */
interface DurationRecord {
    readonly mean: number;
    readonly deviation: number;
}

/** Nominal time to the first event and per output token: requests of a route differ in their number of tokens. */
const FIRST_EVENT_MS = 800;
const TOKEN_MS = 10;
/** Weights and deviations of the estimate of a long duration, as in TCP's retransmission timer (RFC 6298). */
const MEAN_WEIGHT = 0.125;
const DEVIATION_WEIGHT = 0.25;
const FIRST_DEVIATION = 0.5;
const DEVIATIONS = 4;
/** Limit of routes that are remembered; far more than a configuration has. */
const MAX_ROUTES = 1000;

/** Learns how long the requests of each route have taken lately. */
export class RouteDurations {
    readonly #records = new Map<string, DurationRecord>();

    /** Creates a record of no request. */
    static create(): RouteDurations {
        return new RouteDurations();
    }

    /** Records that a request has ended after `ms` milliseconds. */
    record(request: SizedRequest, ms: number): void {
        const { name } = request.route;
        const sample = ms / getNominalMs(request);
        const known = this.#records.get(name) ?? { mean: sample, deviation: sample * FIRST_DEVIATION };
        this.#records.set(name, {
            mean: known.mean + (sample - known.mean) * MEAN_WEIGHT,
            deviation: known.deviation
                + (Math.abs(sample - known.mean) - known.deviation) * DEVIATION_WEIGHT,
        });
        const [oldest] = this.#records.keys();
        if (this.#records.size > MAX_ROUTES && oldest !== undefined) {
            this.#records.delete(oldest);
        }
    }

    /** Estimates in milliseconds what a request like this rarely exceeds; infinite if none of its route has ended. */
    estimate(request: SizedRequest): number {
        const known = this.#records.get(request.route.name);
        return known
            ? (known.mean + DEVIATIONS * known.deviation) * getNominalMs(request)
            : Number.POSITIVE_INFINITY;
    }
}

function getNominalMs({ outputTokens }: SizedRequest): number {
    return FIRST_EVENT_MS + outputTokens * TOKEN_MS;
}
