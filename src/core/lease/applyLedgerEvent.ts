import { applyDemand } from "./applyDemand.js";
import { applyHoldings } from "./applyHoldings.js";
import { applyLoan } from "./applyLoan.js";
import { applyRefusedLoad } from "./applyRefusedLoad.js";
import { applyTargetLoad } from "./applyTargetLoad.js";
import { buildEntryKey } from "./buildEntryKey.js";
import { endRecovery } from "./endRecovery.js";
import { grantSlots } from "./grantSlots.js";
import { isReporting } from "./isReporting.js";
import type { LedgerEvent } from "./ledgerEvent.js";
import type { LedgerPolicy } from "./ledgerPolicy.js";
import type { LedgerResult } from "./ledgerResult.js";
import { limitGrants } from "./limitGrants.js";
import type { PoolLedger } from "./poolLedger.js";
import type { TargetSlots } from "./targetSlots.js";
import { withdrawUnused } from "./withdrawUnused.js";

/**
 * Applies an event to the slot ledger of a pool, then ends the recovery and limits, grants and reclaims slots as the
 * new state requires.
 *
 * @param now Monotonic time in milliseconds.
 */
export function applyLedgerEvent(
    ledger: PoolLedger,
    event: LedgerEvent,
    now: number,
    policy: LedgerPolicy,
): LedgerResult {
    const entry = event.type === "demand" ? buildEntryKey(event.instance, event.incarnation) : undefined;
    const steps: readonly ((state: PoolLedger) => LedgerResult)[] = [
        state => applyKind(state, event, now, policy),
        state => endRecovery(state, now),
        state => limitGrants(state, now, policy),
        state => grantSlots(state, entry, now, policy),
        state => entry === undefined ? { state, effects: [] } : withdrawUnused(state, entry, now, policy),
    ];
    return steps.reduce<LedgerResult>((result, step) => {
        const next = step(result.state);
        return { state: next.state, effects: [...result.effects, ...next.effects] };
    }, { state: ledger, effects: [] });
}

function applyKind(
    ledger: PoolLedger,
    event: LedgerEvent,
    now: number,
    policy: LedgerPolicy,
): LedgerResult {
    switch (event.type) {
        case "configure":
            return { state: applyTargets(ledger, event.targets, now), effects: [] };
        case "demand":
            return applyDemand(ledger, event, now, policy);
        case "holdings":
            return { state: applyHoldings(ledger, event, now, policy.timings), effects: [] };
        case "loan":
            return { state: applyLoan(ledger, event, now), effects: [] };
        case "load":
            return applyTargetLoad(ledger, event, policy.timings);
        case "load-refused":
            return applyRefusedLoad(ledger, event.target, now);
        case "tick":
            return { state: expireRecords(ledger, now, policy), effects: [] };
    }
}

function applyTargets(
    ledger: PoolLedger,
    configured: Extract<LedgerEvent, { type: "configure"; }>["targets"],
    now: number,
): PoolLedger {
    const targets: Record<string, TargetSlots> = {};
    for (const [name, limits] of Object.entries(configured)) {
        const known = ledger.targets[name];
        targets[name] = known && known.inService === limits.inService
            ? { ...known, ...limits }
            // A target that returns to service starts without a load state and so counts as cold.
            : { ...limits, load: undefined, foreign: 0, uncertainSince: now };
    }
    return { ...ledger, targets };
}

function expireRecords(ledger: PoolLedger, now: number, policy: LedgerPolicy): PoolLedger {
    const loans = Object.fromEntries(Object.entries(ledger.loans).filter(([, loan]) => loan.deadline > now));
    const entries = Object.fromEntries(
        Object.entries(ledger.entries).filter(([, entry]) =>
            isReporting(entry, now, policy.timings)
            || Object.entries(entry.holdings).some(([target, holding]) =>
                target in ledger.targets && holding.reserved + holding.inUse > 0
            )
        ),
    );
    return { ...ledger, loans, entries };
}
