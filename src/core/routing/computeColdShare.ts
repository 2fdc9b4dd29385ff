import { pickByHash } from "./pickByHash.js";

/** Usable share of the limit; the rest is a margin for requests that are delayed in transit and arrive together. */
const USABLE_SHARE = 0.8;
/** Smallest useful share of an instance in requests per second: a burst of one, and one refilled. */
const MIN_REQUESTS_PER_SECOND = 2;

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
    const userCount = Math.min(
        members.length,
        Math.floor(limitPerSecond * USABLE_SHARE / MIN_REQUESTS_PER_SECOND),
    );
    const remaining = [...members];
    const users: string[] = [];
    while (users.length < userCount) {
        const next = pickByHash(targetId, remaining);
        if (next === undefined) {
            break;
        }
        remaining.splice(remaining.indexOf(next), 1);
        users.push(next);
    }
    if (!users.includes(instance)) {
        return undefined;
    }
    const share = limitPerSecond * USABLE_SHARE / userCount;
    return { perSecond: share / 2, burst: share / 2 };
}
