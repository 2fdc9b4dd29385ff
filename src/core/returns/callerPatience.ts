import type { RoutedRequest } from "../routing/routedRequest.js";

interface RoutePatience {
    /** Longest time in milliseconds that callers stated in the window and in the one before. */
    readonly currentMs: number;
    readonly previousMs: number;
    /** Monotonic time in milliseconds at which the window ends. */
    readonly until: number;
}

const WINDOW_MS = 10_000;
/** Callers come again after at least this long; less time passes on the way of a new request. */
const MIN_ABSENCE_MS = 40;

/** Learns how much time callers give to new requests, which tells those that come again: their callers have less left. */
export class CallerPatience {
    /** By route, of which a configuration has a limited number. */
    readonly #routes = new Map<string, RoutePatience>();

    /** Creates a record that takes each request for a new one. */
    static create(): CallerPatience {
        return new CallerPatience();
    }

    /** Records the time that a caller states; `now` in monotonic milliseconds. */
    record({ route, receivedAt, deadline }: RoutedRequest, now: number): void {
        let known = this.#routes.get(route.name) ?? { currentMs: 0, previousMs: 0, until: now + WINDOW_MS };
        if (now >= known.until) {
            const previousMs = now < known.until + WINDOW_MS ? known.currentMs : 0;
            known = { currentMs: 0, previousMs, until: now + WINDOW_MS };
        }
        const currentMs = Math.max(known.currentMs, deadline - receivedAt);
        this.#routes.set(route.name, { ...known, currentMs });
    }

    /** Returns whether a request was probably refused before, here or at another instance. */
    isReturning({ route, receivedAt, deadline }: RoutedRequest): boolean {
        const known = this.#routes.get(route.name);
        const longestMs = known ? Math.max(known.currentMs, known.previousMs) : 0;
        return deadline - receivedAt <= longestMs - MIN_ABSENCE_MS;
    }
}
