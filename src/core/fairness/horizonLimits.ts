/**
 * Smallest and largest H in tokens per unit of share. The smallest is worth a few short requests, because the order
 * of two accounts is not known more precisely. The largest only guards against a wrong rate: at the planned size an
 * account receives 33,000 tokens/s, so H is 165,000. With a maximum of 10,000 one account at 26,000 tokens/s left
 * most of 1,536 slots idle, because it exceeded the horizon between two reports.
 */
export const horizonLimits = { min: 100, max: 1_000_000 } as const;
