import type { PoolLedger } from "./poolLedger.js";

/**
 * Returns the latest time, at most `latest`, until which an entry can lease `slots` slots of a target so that loans in
 * force cover the leases in force at every moment.
 *
 * @returns `now` or earlier when the slots are not covered at all.
 */
export function findCoveredDeadline(
    ledger: PoolLedger,
    lease: { readonly target: string; readonly entry: string; readonly slots: number; },
    now: number,
    latest: number,
): number {
    const loans = Object.values(ledger.loans).filter(loan => loan.deadline > now);
    const others = Object.entries(ledger.entries).flatMap(([key, entry]) => {
        const holding = key === lease.entry ? undefined : entry.holdings[lease.target];
        return holding && holding.deadline > now ? [holding] : [];
    });
    // Coverage falls only where a loan ends, so only these times have to be checked.
    const ends = [...new Set(loans.map(loan => loan.deadline))].sort((a, b) => a - b);
    let covered = now;
    for (const end of ends) {
        const lent = loans.reduce(
            (sum, loan) => sum + (loan.deadline >= end ? loan.slots[lease.target] ?? 0 : 0),
            0,
        );
        const leased = others.reduce(
            (sum, holding) => sum + (holding.deadline > covered ? holding.reserved : 0),
            lease.slots,
        );
        if (leased > lent) {
            break;
        }
        covered = end;
    }
    return Math.min(covered, latest);
}
