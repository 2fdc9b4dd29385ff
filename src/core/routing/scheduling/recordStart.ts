import type { EngineModel } from "../engineModel.js";
import type { PromptLocations } from "../promptLocations.js";
import type { TargetGrant } from "../targetGrant.js";

interface StartRecords {
    readonly promptLocations: PromptLocations;
    /** `undefined` for a plain service. */
    readonly engineModel: EngineModel | undefined;
    /** Monotonic time in milliseconds. */
    readonly now: number;
}

/** Records the first event of a granted request, which shows that the target has read the prompt and how long that took. */
export function recordStart(grant: TargetGrant, { promptLocations, engineModel, now }: StartRecords): void {
    const { target, sharedPartId, grantedAt, tokensAhead, overheadMs, missingTokens } = grant;
    target.activity.remove(grant);
    target.pendingTokens -= missingTokens;
    if (sharedPartId !== undefined) {
        promptLocations.record(sharedPartId, target.descriptor.id, now);
    }
    const measuredMs = now - grantedAt;
    target.recordFirstEvent(measuredMs, grant, now);
    engineModel?.recordFirstEvent(tokensAhead, measuredMs - overheadMs, now);
}
