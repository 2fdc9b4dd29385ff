import { performance } from "node:perf_hooks";
import { EventLoopMeter } from "../core/routing/eventLoopMeter.js";
import type { LogSink } from "./logSink.js";

/** Above this event loop delay or utilisation, events are batched before they are forwarded. */
const BATCHING_LOOP_DELAY_MS = 15;
const BATCHING_UTILISATION = 0.6;

/** Measures the event loop delay and utilisation of this process and logs when it becomes busy or recovers. */
export class LoadObserver {
    readonly #log: LogSink;
    readonly #meter = EventLoopMeter.create();
    #loopUtilisation = performance.eventLoopUtilization();

    private constructor(log: LogSink) {
        this.#log = log;
    }

    /** Creates an observer that has seen no load. */
    static create(log: LogSink): LoadObserver {
        return new LoadObserver(log);
    }

    /** True while the process does not keep up with its work. */
    get isBusy(): boolean {
        return this.#meter.isBusy;
    }

    /** Moving average of the event loop delay in milliseconds. */
    get loopDelayMs(): number {
        return this.#meter.averageDelayMs;
    }

    /** Moving average of the event loop utilisation, from 0 to 1. */
    get utilisation(): number {
        return this.#meter.utilisation;
    }

    /** True while events are batched before they are forwarded, because the event loop is delayed or busy. */
    get isBatching(): boolean {
        return this.loopDelayMs > BATCHING_LOOP_DELAY_MS || this.utilisation > BATCHING_UTILISATION;
    }

    /** Records the event loop delay in milliseconds; the number of `active` requests is only logged. */
    observe(loopDelayMs: number, active: number): void {
        const wasBusy = this.#meter.isBusy;
        const loopUtilisation = performance.eventLoopUtilization();
        this.#meter.observe(
            loopDelayMs,
            performance.eventLoopUtilization(loopUtilisation, this.#loopUtilisation).utilization,
        );
        this.#loopUtilisation = loopUtilisation;
        if (this.#meter.isBusy !== wasBusy) {
            this.#log.write("load-changed", {
                isBusy: this.#meter.isBusy,
                lagMs: Math.round(this.#meter.averageDelayMs),
                utilisation: Number(this.#meter.utilisation.toFixed(2)),
                active,
            });
        }
    }
}
