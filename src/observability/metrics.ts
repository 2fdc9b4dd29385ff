import { build, type Histogram } from "hdr-histogram-js";
import { Counter, Gauge, Registry } from "prom-client";
import { counterDefinitions } from "./counterDefinitions.js";

type CounterName = keyof typeof counterDefinitions;
type CounterLabels<N extends CounterName> = Readonly<
    Record<(typeof counterDefinitions)[N]["labels"][number], string>
>;
type LatencyName = "time_to_first_token" | "between_tokens" | "queueing" | "total";

const LATENCY_NAMES: readonly LatencyName[] = ["time_to_first_token", "between_tokens", "queueing", "total"];
const QUANTILES: readonly number[] = [0.5, 0.95, 0.99];
const MICROSECONDS_PER_MS = 1000;

/** Counters and latency histograms of one process. */
export class Metrics {
    readonly #registry = new Registry();
    readonly #counters = new Map<string, Counter>();
    readonly #latencies = new Map<LatencyName, Histogram>();

    private constructor() {
        for (const [name, definition] of Object.entries(counterDefinitions)) {
            this.#counters.set(
                name,
                new Counter({
                    name: `baobabspread_${name}`,
                    help: definition.help,
                    labelNames: definition.labels,
                    registers: [this.#registry],
                }),
            );
        }
        for (const name of LATENCY_NAMES) {
            this.#latencies.set(name, build({ numberOfSignificantValueDigits: 2 }));
        }
    }

    /** Creates the metrics with every counter at zero. */
    static create(): Metrics {
        return new Metrics();
    }

    /** Increments a counter, by 1 unless `amount` is given. */
    count<N extends CounterName>(name: N, labels: CounterLabels<N>, amount = 1): void {
        this.#counters.get(name)?.inc(labels, amount);
    }

    /** Records one latency in milliseconds; the histogram keeps microseconds. */
    observeLatency(name: LatencyName, ms: number): void {
        this.#latencies.get(name)?.recordValue(Math.max(0, Math.round(ms * MICROSECONDS_PER_MS)));
    }

    /** Registers a gauge that is read when the page is rendered. */
    registerGauge(name: string, help: string, read: () => number): void {
        new Gauge({
            name: `baobabspread_${name}`,
            help,
            registers: [this.#registry],
            collect(): void {
                this.set(read());
            },
        });
    }

    /** Renders counters, gauges and latency summaries in the Prometheus text format. */
    async render(): Promise<string> {
        const lines: string[] = [];
        for (const [name, histogram] of this.#latencies) {
            const metric = `baobabspread_${name}_seconds`;
            lines.push(`# HELP ${metric} Latency since the start.`, `# TYPE ${metric} summary`);
            for (const quantile of QUANTILES) {
                const seconds = histogram.getValueAtPercentile(quantile * 100) / MICROSECONDS_PER_MS / 1000;
                lines.push(`${metric}{quantile="${quantile}"} ${seconds}`);
            }
            lines.push(`${metric}_count ${histogram.totalCount}`);
        }
        return `${await this.#registry.metrics()}${lines.join("\n")}\n`;
    }
}
