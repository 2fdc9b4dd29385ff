import { computeHorizonSlack } from "../../core/fairness/computeHorizonSlack.js";
import type { LevelTrend } from "../../core/fairness/levelTrend.js";
import { observeLevel } from "../../core/fairness/observeLevel.js";
import { findLowestService } from "../../core/lease/findLowestService.js";
import type { LeaseTimings } from "../../core/lease/leaseTimings.js";
import type { PoolLedger } from "../../core/lease/poolLedger.js";

/** Measures how fast the lowest normalised service of a pool rises, which sets its horizon slack. */
export class PoolHorizon {
    #trend: LevelTrend | undefined;

    private constructor() {}

    /** Creates the measurement for a pool that has just been taken over. */
    static create(): PoolHorizon {
        return new PoolHorizon();
    }

    /** Horizon slack H in tokens per unit of share. */
    get slack(): number {
        return computeHorizonSlack(this.#trend);
    }

    /** Records the lowest normalised service in the ledger at a monotonic time in milliseconds. */
    observe(ledger: PoolLedger, now: number, timings: LeaseTimings): void {
        this.#trend = observeLevel(this.#trend, findLowestService(ledger, now, timings), now);
    }
}
