import type { LimitBreach } from "./limitBreach.js";
import type { TargetSettings } from "./targetSettings.js";

/** Times are wall-clock milliseconds. */
interface CapacityReport {
    readonly epoch: string;
    readonly state: "cold" | "warm";
    readonly running: number;
    readonly bearable: number;
    readonly measuredAtMs: number;
}

/** Concurrency limit of a target, which rises during warm-up; a lasting overload makes the target crash. */
export class TargetCapacity {
    readonly #settings: TargetSettings;
    #epochNumber = 0;
    #epoch = "";
    #running = 0;
    #cold: boolean;
    #coldSince: number;
    #completedSinceCold = 0;
    #noticedAt: number | undefined;
    #overloadSince = 0;
    #lastRefusalAt = -Infinity;
    #refusedInOverload = 0;
    #samples: CapacityReport[] = [];
    /** Highest number of concurrent requests. */
    peak = 0;
    /** Requests that arrived when the target was already at its limit. */
    readonly breaches: LimitBreach[] = [];
    timesFallen = 0;

    private constructor(settings: TargetSettings, now: number) {
        this.#settings = settings;
        this.#cold = settings.startsCold;
        this.#coldSince = now;
        this.#noticedAt = now;
        this.#setEpoch(now);
    }

    /** Creates the capacity of a target that has just started. */
    static create(settings: TargetSettings, now: number): TargetCapacity {
        return new TargetCapacity(settings, now);
    }

    get running(): number {
        return this.#running;
    }

    /** Returns the current load. */
    getReport(now: number): CapacityReport {
        const bearable = this.#computeBearable(now);
        if (bearable === this.#settings.slotLimit) {
            this.#cold = false;
        }
        return {
            epoch: this.#epoch,
            state: this.#cold ? "cold" : "warm",
            running: this.#running,
            bearable,
            measuredAtMs: now,
        };
    }

    /** Samples the load for load reports, which lag behind by `loadLagMs`. */
    recordSample(now: number): void {
        this.#samples.push(this.getReport(now));
        while ((this.#samples[1]?.measuredAtMs ?? Infinity) <= now - this.#settings.loadLagMs) {
            this.#samples.shift();
        }
    }

    /** Returns the load as it was `loadLagMs` ago and records whether that shows the current cold start. */
    readLaggingReport(now: number): CapacityReport {
        if (this.#settings.loadLagMs === 0) {
            this.markShown(now);
            return this.getReport(now);
        }
        this.recordSample(now);
        const report = this.#samples[0] ?? this.getReport(now);
        if (report.measuredAtMs >= this.#coldSince) {
            this.markShown(now);
        }
        return report;
    }

    /** Records that a load report or a response head has shown the current state. */
    markShown(now: number): void {
        this.#noticedAt ??= now;
    }

    /** Admits a request if the target is below its limit; `overloaded` means that the target has to crash. */
    tryStart(now: number): "started" | "refused" | "overloaded" {
        if (this.#running < this.getReport(now).bearable) {
            this.#running += 1;
            this.peak = Math.max(this.peak, this.#running);
            return "started";
        }
        const { bearable, state } = this.getReport(now);
        this.breaches.push({
            atMs: now,
            running: this.#running,
            bearable,
            state,
            coldSinceMs: this.#coldSince,
            noticedAtMs: this.#noticedAt,
        });
        if (now - this.#lastRefusalAt > this.#settings.overloadGraceMs) {
            this.#overloadSince = now;
            this.#refusedInOverload = 0;
        }
        this.#lastRefusalAt = now;
        this.#refusedInOverload += 1;
        const attempted = this.#running + this.#refusedInOverload;
        const overloaded = now - this.#overloadSince > this.#settings.overloadGraceMs
            || attempted > this.#settings.overloadFactor * this.#settings.slotLimit;
        return overloaded ? "overloaded" : "refused";
    }

    /** Releases the slot of a request. */
    finish(completed: boolean): void {
        this.#running -= 1;
        this.#completedSinceCold += completed ? 1 : 0;
    }

    /** Makes the target cold within its epoch, without warning. */
    setCold(now: number): void {
        this.#cold = true;
        this.#coldSince = now;
        this.#completedSinceCold = 0;
        this.#noticedAt = undefined;
    }

    /** Starts a new epoch, cold. Warm-up begins now, not when the target crashed. */
    resetEpoch(now: number): void {
        this.setCold(now);
        this.#setEpoch(now);
        this.#lastRefusalAt = -Infinity;
        this.#samples = [];
    }

    #setEpoch(now: number): void {
        this.#epochNumber += 1;
        this.#epoch = `${process.pid}-${Math.round(now)}-${this.#epochNumber}`;
    }

    #computeBearable(now: number): number {
        const { slotLimit, coldLimit, warmRequestsPerSlot, warmMsPerSlot } = this.#settings;
        if (!this.#cold) {
            return slotLimit;
        }
        const warmedSlots = Math.floor(this.#completedSinceCold / warmRequestsPerSlot)
            + Math.floor((now - this.#coldSince) / warmMsPerSlot);
        return Math.min(slotLimit, coldLimit + warmedSlots);
    }
}
