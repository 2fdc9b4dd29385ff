import { applyLedgerEvent } from "../../core/lease/applyLedgerEvent.js";
import { buildEntryKey } from "../../core/lease/buildEntryKey.js";
import { buildLeaseState } from "../../core/lease/buildLeaseState.js";
import { createLedger } from "../../core/lease/createLedger.js";
import { defaultLeaseTimings } from "../../core/lease/defaultLeaseTimings.js";
import type { LedgerEvent } from "../../core/lease/ledgerEvent.js";
import type { LedgerPolicy } from "../../core/lease/ledgerPolicy.js";
import { pickLowestService } from "../../core/lease/pickLowestService.js";
import { measureProcessorTime } from "./measureProcessorTime.js";

const policy: LedgerPolicy = {
    timings: defaultLeaseTimings,
    horizonSlack: 10_000,
    maxUnusedSlots: 2,
    pickNeediest: pickLowestService,
};
const NOW = 10_000;
const SLOTS = 64;

/**
 * Measures the processor time in microseconds that the owner of a pool spends on one demand report, without codec and
 * actor. Every slot is leased and two accounts wait at each entry.
 */
export function measureLedger(entries: number, targets: number, seconds: number): number {
    const names = Array.from({ length: targets }, (_, index) => String(index + 1));
    let ledger = createLedger(1024, 0, 0, []);
    let now = NOW;
    const apply = (event: LedgerEvent): void => {
        ledger = applyLedgerEvent(ledger, event, now, policy).state;
    };
    const limits = { slotLimit: SLOTS, coldLimit: SLOTS, inService: true };
    apply({ type: "configure", targets: Object.fromEntries(names.map(name => [name, limits])) });
    const slots = Object.fromEntries(names.map(name => [name, SLOTS]));
    apply({ type: "loan", lender: "lender", slots, deadline: NOW + 10_000_000 });
    for (const [index, target] of names.entries()) {
        const report = {
            epoch: "1",
            state: "warm",
            running: 0,
            bearable: SLOTS,
            measuredAtMs: index,
        } as const;
        apply({ type: "load", target, report, requestedAt: now });
    }
    let sequence = 0;
    const report = (index: number): void => {
        sequence += 1;
        const instance = `daemon-${index}`;
        const known = ledger.entries[buildEntryKey(instance, "1")];
        const holdings = Object.fromEntries(
            Object.entries(known?.holdings ?? {}).map(([target, { granted }]) => [
                target,
                { held: granted, inUse: granted, coldAnswers: 0, busyAnswers: 0 },
            ]),
        );
        const needs = [1, 2].map(account => ({
            account,
            waiting: 3,
            normalizedService: 1000 * account + index,
        }));
        apply({
            type: "demand",
            instance,
            incarnation: "1",
            report: { sequence, appliedSequence: ledger.sequence, needs, holdings },
        });
        buildLeaseState(ledger, buildEntryKey(instance, "1"), now, policy);
    };
    for (let round = 0; round < 4 * entries; round += 1) {
        report(round % entries);
    }
    return measureProcessorTime(seconds, () => {
        now += 0.01;
        report(sequence % entries);
    });
}
