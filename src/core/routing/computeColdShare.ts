import { pickHomeTarget } from "./pickHomeTarget.js";

/** Share of the limit that is left unused, for requests that are delayed on the way and arrive together. */
const SAFETY = 0.8;
/** Requests of one instance in one second that make a share worth having: one at once and one more. */
const MIN_REQUESTS = 2;

/**
 * Divides the limit of a cold target among instances, so that each part is safe without any exchange.
 *
 * @param limitPerSecond Requests that may reach the target in any second, from all instances.
 * @param members Names of the instances that may use the target, this one included.
 * @returns Rate and burst of this instance, or `undefined` if its part is too small to be used.
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
