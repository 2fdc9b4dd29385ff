/** The longest patience of the current and of the last period counts. */
const PERIOD_MS = 20_000;

interface RoutePatience {
    readonly currentMs: number;
    readonly lastMs: number;
    /** Monotonic time in milliseconds at which the current period ends. */
    readonly endsAt: number;
}

/**
 * Tracks how long the callers of each route wait at most. A caller states the time that it has left, so that one that
 * states much less than others do has been refused before.
 */
export class PatienceTracker {
    readonly #routes = new Map<string, RoutePatience>();

    /** Creates a tracker that knows no caller. */
    static create(): PatienceTracker {
        return new PatienceTracker();
    }

    /** Records the patience of a caller in milliseconds. Returns the longest one of the route. */
    record(route: string, patienceMs: number, now: number): number {
        const known = this.#routes.get(route) ?? { currentMs: 0, lastMs: 0, endsAt: now + PERIOD_MS };
        const isOver = now >= known.endsAt;
        const updated = {
            currentMs: Math.max(patienceMs, isOver ? 0 : known.currentMs),
            lastMs: isOver ? known.currentMs : known.lastMs,
            endsAt: isOver ? now + PERIOD_MS : known.endsAt,
        };
        this.#routes.set(route, updated);
        return Math.max(updated.currentMs, updated.lastMs);
    }
}
