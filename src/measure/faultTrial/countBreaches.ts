import type { LimitBreach } from "../../standIns/target/limitBreach.js";

interface BreachCounts {
    /** Arrivals over the limit that the fleet could have prevented. */
    readonly limitBreaches: number;
    /** Arrivals over the limit of a target that turned cold without warning, before every entry could learn of it. */
    readonly breachesDuringNotice: number;
}

/**
 * Time from a target's first sign that it is cold until no entry sends requests under the older limit: four one-way
 * delays of 15 ms (response, report, push, request already in flight) and two intervals of 20 ms between reviews.
 */
const NOTICE_MS = 100;

/** Counts arrivals over the limit, split by whether the target had shown early enough that it was cold. */
export function countBreaches(breaches: readonly LimitBreach[]): BreachCounts {
    const breachesDuringNotice =
        breaches.filter(({ atMs, noticedAtMs }) =>
            noticedAtMs === undefined || atMs - noticedAtMs <= NOTICE_MS
        ).length;
    return { limitBreaches: breaches.length - breachesDuringNotice, breachesDuringNotice };
}
