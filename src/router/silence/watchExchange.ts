import type { ForwardAttemptOptions } from "../forwardAttemptOptions.js";
import type { TargetExchangeOptions } from "../targetExchangeOptions.js";

type ExchangeCallbacks = Pick<TargetExchangeOptions, "onWritten" | "onHead" | "onData" | "onEnd" | "onFail">;

/**
 * Records what an exchange shows of its target, before its callbacks run. The scheduler ends the record with the first event or the
 * release of the grant.
 *
 * @param isSent Returns whether the connection has taken the whole request.
 */
export function watchExchange(
    { grant, caller, getRunningTime }: ForwardAttemptOptions,
    callbacks: ExchangeCallbacks,
    isSent: () => boolean,
): ExchangeCallbacks {
    const { target, expectedMs } = grant;
    const isStream = caller.request.route.kind === "stream";
    // A target that has not got the whole request cannot be reading it.
    const getExpectedMs = (): number =>
        isSent() ? Math.max(expectedMs * target.slowness, target.getLongResponseMs()) : 0;
    return {
        ...callbacks,
        onWritten: () => {
            target.activity.add(grant, { startedAt: getRunningTime(), getExpectedMs });
            callbacks.onWritten?.();
        },
        onHead: head => {
            target.activity.recordAnswer(getRunningTime());
            if (!isStream) {
                target.activity.remove(grant);
            }
            callbacks.onHead(head);
        },
        onData: chunk => {
            target.activity.recordAnswer(getRunningTime());
            callbacks.onData(chunk);
        },
    };
}
