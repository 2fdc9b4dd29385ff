import type { Locality } from "../../routing/locality.js";
import type { TargetDescriptor } from "../../routing/targetDescriptor.js";
import { listPossible } from "./listPossible.js";
import type { SchedulerExplanation } from "./schedulerExplanation.js";
import type { ServiceExplanation } from "./serviceExplanation.js";

interface DescribeOptions extends Pick<ServiceExplanation, "service" | "part"> {
    readonly locality: Locality;
    /** Region of each data centre. */
    readonly regionsByDataCentre: ReadonlyMap<string, string>;
}

/** Targets in a list of an answer; the largest fleet so far has 90. */
const MAX_LISTED = 500;

/** Describes the explanation of a router's scheduler. */
export function describeService(
    { status, decision, candidates, isChoiceWeighted, leftOut }: SchedulerExplanation,
    { service, part, locality, regionsByDataCentre }: DescribeOptions,
): ServiceExplanation {
    const place = (
        { id, dataCentre }: TargetDescriptor,
    ): Omit<ServiceExplanation["leftOut"][number], "reason"> => ({
        target: id,
        dataCentre,
        region: regionsByDataCentre.get(dataCentre) ?? "",
    });
    const possible = listPossible(candidates, isChoiceWeighted);
    const granted = decision.kind === "granted" ? place(decision.grant.target.descriptor) : undefined;
    return {
        service,
        part,
        share: {
            status: status.kind,
            // Infinite if the account has no share at all, which JSON cannot express.
            ...(Number.isFinite(status.shareRatio) ? { ratio: status.shareRatio } : {}),
        },
        outcome: describeOutcome(decision),
        candidates: candidates.slice(0, MAX_LISTED).map(candidate => ({
            ...place(candidate.target.descriptor),
            isPossible: possible.has(candidate),
            score: candidate.score,
            terms: { ...candidate.terms },
        })),
        leftOut: leftOut.slice(0, MAX_LISTED).map(({ target, reason }) => ({ ...place(target), reason })),
        omitted: Math.max(0, candidates.length - MAX_LISTED) + Math.max(0, leftOut.length - MAX_LISTED),
        leavesDataCentre: granted && granted.dataCentre !== locality.dataCentre,
        leavesRegion: granted && granted.region !== locality.region,
    };
}

function describeOutcome(decision: SchedulerExplanation["decision"]): ServiceExplanation["outcome"] {
    switch (decision.kind) {
        case "granted":
            return { kind: "grant", target: decision.grant.target.descriptor.id };
        case "waiting":
            return { kind: "wait", reason: "no-capacity" };
        case "refused":
            return { kind: "refusal", reason: decision.reason, retryAfterMs: decision.retryAfterMs };
        case "failed":
            return { kind: "refusal", reason: "internal-error" };
    }
}
