import { DecayingSum } from "../routing/decayingSum.js";
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
/**
 * Each refusal brings one request back, to this instance or another one. If more have less time left than this allows, callers
 * give new requests different times, and those with little would wait behind the others.
 */
const MAX_RETURNS_PER_REFUSAL = 1.2;
const MAX_UNEXPECTED_RETURNS = 10;

/** Learns how much time callers give to new requests, which tells those that come again: their callers have less left. */
export class CallerPatience {
    /** By route, of which a configuration has a limited number. */
    readonly #routes = new Map<string, RoutePatience>();
    /** Requests with less time than others, and refusals. */
    readonly #shorter = DecayingSum.create(WINDOW_MS);
    readonly #refusals = DecayingSum.create(WINDOW_MS);

    /** Creates a record that takes each request for a new one. */
    static create(): CallerPatience {
        return new CallerPatience();
    }

    /** Counts a refusal at a monotonic time in milliseconds. */
    addRefusal(now: number): void {
        this.#refusals.add(1, now);
    }

    /** Records the time that a caller states; `now` in monotonic milliseconds. */
    record(request: RoutedRequest, now: number): void {
        const { route, receivedAt, deadline } = request;
        let known = this.#routes.get(route.name) ?? { currentMs: 0, previousMs: 0, until: now + WINDOW_MS };
        if (now >= known.until) {
            const previousMs = now < known.until + WINDOW_MS ? known.currentMs : 0;
            known = { currentMs: 0, previousMs, until: now + WINDOW_MS };
        }
        const currentMs = Math.max(known.currentMs, deadline - receivedAt);
        this.#routes.set(route.name, { ...known, currentMs });
        this.#shorter.add(Number(this.#isShorter(request)), now);
    }

    /** Returns whether a request was probably refused before, here or at another instance. */
    isReturning(request: RoutedRequest, now: number): boolean {
        const maxReturns = this.#refusals.get(now) * MAX_RETURNS_PER_REFUSAL + MAX_UNEXPECTED_RETURNS;
        return this.#isShorter(request) && this.#shorter.get(now) <= maxReturns;
    }

    #isShorter({ route, receivedAt, deadline }: RoutedRequest): boolean {
        const known = this.#routes.get(route.name);
        const longestMs = known ? Math.max(known.currentMs, known.previousMs) : 0;
        return deadline - receivedAt <= longestMs - MIN_ABSENCE_MS;
    }
}
