/**
 * H of the gap bound in tokens per unit of share: how far above the lowest waiting account of a pool an entry may
 * reuse a slot without asking. It has to exceed what an account receives between two reports. In a trial with 7 daemons, 16
 * accounts, 12 engines and 3 plain targets, all backlogged (about 3,000 tokens/s for each account), entries returned
 * slots all the time at 500 (148 requests/s, 12.6 KB/s of control traffic a daemon) and hardly ever at 10,000
 * (523 requests/s, 3.8 KB/s).
 */
export const horizonSlack = 10_000;
