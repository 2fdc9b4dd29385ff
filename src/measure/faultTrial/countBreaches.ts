import type { LimitBreach } from "../../standIns/target/limitBreach.js";

interface BreachCounts {
    /** Arrivals over the limit that the fleet could have prevented. */
    readonly limitBreaches: number;
    /** Arrivals over the limit of a target that turned cold without warning, before every entry could know of it. */
    readonly breachesDuringNotice: number;
}

/**
 * Time in milliseconds from the moment at which a target first shows that it is cold until no entry sends work under the
 * older limit: four one-way delays of 15 ms (answer, report, push, request already on its way) and two intervals of 20 ms
 * between reviews.
 */
const NOTICE_MS = 100;

/** Counts arrivals over the limit by whether the target had shown that it was cold long enough before. */
export function countBreaches(breaches: readonly LimitBreach[]): BreachCounts {
    const breachesDuringNotice =
        breaches.filter(({ atMs, noticedAtMs }) =>
            noticedAtMs === undefined || atMs - noticedAtMs <= NOTICE_MS
        ).length;
    return { limitBreaches: breaches.length - breachesDuringNotice, breachesDuringNotice };
}
