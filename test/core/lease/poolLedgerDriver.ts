import { applyLedgerEvent } from "../../../src/core/lease/applyLedgerEvent.js";
import { createLedger } from "../../../src/core/lease/createLedger.js";
import { defaultLeaseTimings } from "../../../src/core/lease/defaultLeaseTimings.js";
import type { LedgerEvent } from "../../../src/core/lease/ledgerEvent.js";
import type { LedgerPolicy } from "../../../src/core/lease/ledgerPolicy.js";
import { pickLowestService } from "../../../src/core/lease/pickLowestService.js";
import type { PoolLedger } from "../../../src/core/lease/poolLedger.js";

interface DemandOptions {
    readonly sequence: number;
    /** Waiting requests by normalised service. */
    readonly waiting?: Readonly<Record<number, number>>;
    readonly held?: number;
    readonly inUse?: number;
    readonly appliedSequence?: number;
    readonly coldAnswers?: number;
}

/** Drives the ledger of a pool with the single target "1", event by event. */
export class PoolLedgerDriver {
    static readonly policy: LedgerPolicy = {
        timings: defaultLeaseTimings,
        horizonSlack: 100,
        maxUnusedSlots: 2,
        pickNeediest: pickLowestService,
    };
    state: PoolLedger = createLedger(1024, 0, 0, []);
    measuredAtMs = 0;

    /** Creates a ledger whose loan of `borrowed` slots starts at 0 ms and ends at 2000 ms. */
    static create(slotLimit: number, borrowed = slotLimit, coldLimit = slotLimit): PoolLedgerDriver {
        const driver = new PoolLedgerDriver();
        driver.apply(
            { type: "configure", targets: { 1: { slotLimit, coldLimit, inService: true } } },
            0,
        );
        driver.apply({ type: "loan", lender: "lender", slots: { 1: borrowed }, deadline: 2000 }, 0);
        return driver;
    }

    /** Applies an event and returns each effect as `push ENTRY` or as the reason that it records. */
    apply(event: LedgerEvent, now: number): readonly string[] {
        const result = applyLedgerEvent(this.state, event, now, PoolLedgerDriver.policy);
        this.state = result.state;
        return result.effects.map(effect => effect.type === "push" ? `push ${effect.entry}` : effect.reason);
    }

    reportDemand(entry: string, options: DemandOptions, now: number): readonly string[] {
        const { sequence, waiting = {}, held = 0, inUse = 0, appliedSequence = 0, coldAnswers = 0 } = options;
        const needs = Object.entries(waiting).map(([service, count], account) => ({
            account,
            waiting: count,
            normalizedService: Number(service),
        }));
        return this.apply({
            type: "demand",
            instance: entry,
            incarnation: "1",
            report: {
                sequence,
                appliedSequence,
                needs,
                holdings: { 1: { held, inUse, coldAnswers, busyAnswers: 0 } },
            },
        }, now);
    }

    reportLoad(
        running: number,
        now: number,
        bearable = 1000,
        epoch = "a",
        state: "cold" | "warm" = "warm",
    ): void {
        this.measuredAtMs += 1;
        const report = { epoch, state, running, bearable, measuredAtMs: this.measuredAtMs };
        this.apply({ type: "load", target: "1", report, requestedAt: now }, now);
    }

    getGranted(entry: string): number {
        return this.state.entries[`${entry}/1`]?.holdings[1]?.granted ?? 0;
    }
}
