/**
 * What a queue wants of a pool: `ask` for slots, `use` slots that are held anyway, `probe` whether slots are free,
 * or `none`.
 */
export type PoolInterest = "ask" | "use" | "probe" | "none";
