import type { LimitGate } from "../limits/limitGate.js";
import type { AccountUsage } from "./accountUsage.js";
import { countRequestTokens } from "./countRequestTokens.js";
import type { CrashRecord } from "./crashRecord.js";
import type { RoutedRequest } from "./routedRequest.js";
import type { TargetCandidate } from "./targetCandidate.js";
import type { TargetGrant } from "./targetGrant.js";

interface GrantRecords {
    readonly limits: LimitGate;
    readonly crashRecord: CrashRecord;
    readonly usage: AccountUsage;
}

/** Reserves capacity of a target for a request, wherever it is accounted for. */
export function reserveTarget(
    { limits, crashRecord, usage }: GrantRecords,
    request: RoutedRequest,
    { target, grant, coldShare }: TargetCandidate,
    now: number,
): TargetGrant {
    target.inFlight += 1;
    target.pendingTokens += grant.missingTokens;
    limits.takePermit(target.descriptor.id, now);
    crashRecord.recordSent(request, now);
    if (coldShare) {
        target.coldBucket.tryTake(now, coldShare.perSecond, coldShare.burst);
    }
    target.cache.add(request.prompt);
    usage.addGranted(request.account, countRequestTokens(request), now);
    return grant;
}
