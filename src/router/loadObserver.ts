import { performance } from "node:perf_hooks";
import { LagMeter } from "../core/routing/lagMeter.js";
import type { LogSink } from "./logSink.js";

/** Measures the event loop delay and utilisation of this process and logs when it becomes busy or recovers. */
export class LoadObserver {
    readonly #log: LogSink;
    readonly #meter = LagMeter.create();
    #loopUse = performance.eventLoopUtilization();

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
    get averageMs(): number {
        return this.#meter.averageMs;
    }

    /** Moving average of the event loop utilisation, from 0 to 1. */
    get utilisation(): number {
        return this.#meter.utilisation;
    }

    /** Records the event loop delay in milliseconds; the number of `active` requests is only logged. */
    observe(lagMs: number, active: number): void {
        const wasBusy = this.#meter.isBusy;
        const loopUse = performance.eventLoopUtilization();
        this.#meter.observe(lagMs, performance.eventLoopUtilization(loopUse, this.#loopUse).utilization);
        this.#loopUse = loopUse;
        if (this.#meter.isBusy !== wasBusy) {
            this.#log.write("load-changed", {
                isBusy: this.#meter.isBusy,
                lagMs: Math.round(this.#meter.averageMs),
                utilisation: Number(this.#meter.utilisation.toFixed(2)),
                active,
            });
        }
    }
}
