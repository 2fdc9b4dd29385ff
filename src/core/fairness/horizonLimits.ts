/**
 * Smallest and largest H in tokens per unit of share. The smallest is a few short requests, because the order
 * between two accounts is not known more precisely. The largest is enough for about 3,000 tokens/s for each account:
 * in a trial with 7 daemons, 16 accounts, 12 engines and 3 plain targets at that rate, entries returned slots all the
 * time at 500 (148 requests/s, 12.6 KB/s of control traffic a daemon) and hardly ever at 10,000 (523 requests/s,
 * 3.8 KB/s).
 */
export const horizonLimits = { min: 100, max: 10_000 } as const;
