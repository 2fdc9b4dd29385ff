import { pickHomeTarget } from "./pickHomeTarget.js";

/** Usable share of the limit; the rest is a margin for requests that are delayed in transit and arrive together. */
const SAFETY = 0.8;
/** Smallest useful share of an instance in requests per second: a burst of one, and one refilled. */
const MIN_REQUESTS = 2;

/**
 * Divides the rate limit of a cold target among instances, so that all together keep it without coordination.
 *
 * @param limitPerSecond Requests that the target may get in any second from all instances together.
 * @param members Names of the instances that may use the target, this one included.
 * @returns Rate and burst of this instance, or `undefined` if the limit is too small to give it a useful share.
 */
export function computeColdShare(
    targetId: string,
    limitPerSecond: number,
    instance: string,
    members: readonly string[],
): { readonly perSecond: number; readonly burst: number; } | undefined {
    const users = Math.min(members.length, Math.floor(limitPerSecond * SAFETY / MIN_REQUESTS));
    const remaining = [...members];
    const chosen: string[] = [];
    while (chosen.length < users) {
        const next = pickHomeTarget(targetId, remaining);
        if (next === undefined) {
            break;
        }
        remaining.splice(remaining.indexOf(next), 1);
        chosen.push(next);
    }
    if (!chosen.includes(instance)) {
        return undefined;
    }
    const part = limitPerSecond * SAFETY / users;
    return { perSecond: part / 2, burst: part / 2 };
}
