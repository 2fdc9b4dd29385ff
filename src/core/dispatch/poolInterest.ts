/**
 * How a queue uses a pool: `ask` requests slots, `use` only uses slots that are already held, `probe` only learns
 * from the owner whether slots are free, and `none` leaves the pool alone.
 */
export type PoolInterest = "ask" | "use" | "probe" | "none";
