import type { FleetSample } from "./fleetSample.js";

/** A backlogged account counts as starved if it is served nothing for this long. */
const WINDOW_MS = 5_000;

/** Counts the accounts that were served nothing for 5 s or longer. */
export function countStarved(samples: readonly FleetSample[], accounts: readonly string[]): number {
    return accounts.filter(account =>
        samples.some((sample, index) => {
            const later = samples.slice(index).find(other => other.atMs >= sample.atMs + WINDOW_MS);
            return later !== undefined
                && (later.tokensByAccount.get(account) ?? 0) === (sample.tokensByAccount.get(account) ?? 0);
        })
    ).length;
}
