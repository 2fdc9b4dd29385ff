import { buildStreamLoad } from "./buildStreamLoad.js";
import { limitProcessor } from "./limitProcessor.js";
import { measureCapacity } from "./measureCapacity.js";
import type { OfferedRequest } from "./offeredRequest.js";
import type { OverloadOutcome } from "./overloadOutcome.js";
import type { CooperativeFleet } from "./platform/cooperativeFleet.js";
import { sendLoad } from "./sendLoad.js";

interface OverloadOptions {
    /** Load as a multiple of what the instance can answer. */
    readonly multiple: number;
    /** Callers that send their next request once they have an answer, and show what the instance can answer. */
    readonly callers: number;
    readonly measureMs: number;
    readonly overloadMs: number;
}

const MS_PER_SECOND = 1000;
const PROCESSOR_SHARE = 1 / 3;
const RECOVERY_MS = 1000;
const LIGHT_SHARE = 0.5;
const SERVED = 200;
const REFUSED = 503;

/** Offers an instance with a third of a processor a multiple of what it can answer, each request on a new connection. */
export async function runOverload(
    fleet: CooperativeFleet,
    instance: CooperativeFleet["instances"][number],
    { multiple, callers, measureMs, overloadMs }: OverloadOptions,
): Promise<OverloadOutcome> {
    const address = new URL(fleet.getUrls(instance).callers).host;
    const endLimit = limitProcessor(instance.process, PROCESSOR_SHARE);
    try {
        const capacity = await measureCapacity(address, {
            ...buildStreamLoad("before", fleet.key),
            callers,
            measureMs,
            isServed,
        });
        const ended = sendLoad(address, {
            ...buildStreamLoad("during", fleet.key),
            perSecond: capacity * multiple,
            durationMs: overloadMs,
        });
        await new Promise(resolve => setTimeout(resolve, overloadMs + RECOVERY_MS));
        const after = await sendLoad(address, {
            ...buildStreamLoad("after", fleet.key),
            perSecond: capacity * LIGHT_SHARE,
            durationMs: MS_PER_SECOND,
        });
        const during = await ended;
        const refused = during.filter(({ status }) => status === REFUSED);
        return {
            capacity,
            answered: during.filter(isServed).length * MS_PER_SECOND / overloadMs,
            during,
            unanswered: during.filter(request =>
                !isServed(request) && (request.status !== REFUSED || !request.hasRetryAfter)
            ),
            refusalTimes: refused.map(({ ms }) => ms),
            after,
            unserved: after.filter(request => !isServed(request)),
        };
    }
    finally {
        endLimit();
    }
}

function isServed({ status }: OfferedRequest): boolean {
    return status === SERVED;
}
