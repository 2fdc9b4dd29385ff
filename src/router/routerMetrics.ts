import type { RouteKind } from "../core/routing/routeKind.js";

/** Upper bounds of the latency buckets in milliseconds, around the objectives of the deployments (221 to 800 ms). */
const BUCKETS_MS: readonly number[] = [25, 50, 100, 200, 400, 800, 1600, 3200, 6400, 12_800];

interface LatencyHistogram {
    readonly counts: number[];
    sum: number;
}

/** Counters and latency histograms of a router, in the Prometheus text format. */
export class RouterMetrics {
    readonly #ends = new Map<string, number>();
    readonly #refusals = new Map<string, number>();
    readonly #latencies = new Map<RouteKind, LatencyHistogram>();
    readonly #explanations = new Map<string, number>();
    #internalErrors = 0;
    readonly #gauges = new Map<string, () => number>();

    /** Creates metrics with nothing counted. */
    static create(): RouterMetrics {
        return new RouterMetrics();
    }

    /** Counts a request that was refused before it was scheduled. */
    countRefusal(reason: string): void {
        this.#refusals.set(reason, (this.#refusals.get(reason) ?? 0) + 1);
    }

    /** Counts an unexpected error. */
    countInternalError(): void {
        this.#internalErrors += 1;
    }

    /** Counts an answer of the page that explains routes. */
    countExplanation(result: string): void {
        this.#explanations.set(result, (this.#explanations.get(result) ?? 0) + 1);
    }

    /** Counts a request that has ended after `ms` milliseconds. */
    countEnd(kind: RouteKind, outcome: string, ms: number): void {
        const labels = `kind="${kind}",outcome="${outcome}"`;
        this.#ends.set(labels, (this.#ends.get(labels) ?? 0) + 1);
        let histogram = this.#latencies.get(kind);
        if (!histogram) {
            histogram = { counts: BUCKETS_MS.map(() => 0).concat(0), sum: 0 };
            this.#latencies.set(kind, histogram);
        }
        const bucket = BUCKETS_MS.findIndex(bound => ms <= bound);
        const index = bucket < 0 ? BUCKETS_MS.length : bucket;
        histogram.counts[index] = (histogram.counts[index] ?? 0) + 1;
        histogram.sum += ms;
    }

    /** Registers gauges, by name; their values are read when the metrics are rendered. */
    registerGauges(gauges: Readonly<Record<string, () => number>>): void {
        Object.entries(gauges).forEach(([name, read]) => this.#gauges.set(name, read));
    }

    /** Renders all metrics in the Prometheus text format. */
    render(): string {
        const lines = [
            ...[...this.#ends].map(([labels, count]) =>
                `baobabspread_requests_ended_total{${labels}} ${count}`
            ),
            ...[...this.#refusals].map(([reason, count]) =>
                `baobabspread_requests_refused_total{reason="${reason}"} ${count}`
            ),
            ...[...this.#explanations].map(([result, count]) =>
                `baobabspread_route_explanations_total{result="${result}"} ${count}`
            ),
            `baobabspread_internal_errors_total ${this.#internalErrors}`,
            ...[...this.#gauges].map(([name, read]) => `baobabspread_${name} ${read()}`),
            ...[...this.#latencies].flatMap(([kind, histogram]) => renderHistogram(kind, histogram)),
        ];
        return `${lines.join("\n")}\n`;
    }
}

function renderHistogram(kind: RouteKind, histogram: LatencyHistogram): readonly string[] {
    const name = "baobabspread_request_duration_ms";
    let total = 0;
    const buckets = histogram.counts.map((count, i) => {
        total += count;
        return `${name}_bucket{kind="${kind}",le="${BUCKETS_MS[i] ?? "+Inf"}"} ${total}`;
    });
    return [
        ...buckets,
        `${name}_sum{kind="${kind}"} ${histogram.sum}`,
        `${name}_count{kind="${kind}"} ${total}`,
    ];
}
