import type { PoolLedger } from "./poolLedger.js";

/**
 * Creates the ledger of a pool that is taken over; it grants nothing until recovery has ended.
 *
 * @param sequence Sequence of the last lease state that this incarnation sent for the pool.
 * @param deadline Monotonic time in milliseconds at which recovery ends even if replies are missing.
 * @param pending Names of the instances whose holdings have been requested.
 */
export function createLedger(
    fencingNumber: number,
    sequence: number,
    deadline: number,
    pending: readonly string[],
): PoolLedger {
    return {
        fencingNumber,
        sequence,
        recovery: { deadline, pending },
        targets: {},
        loans: {},
        entries: {},
    };
}
