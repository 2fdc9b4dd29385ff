import type { Target } from "../../configuration/target.js";
import { buildQueueKey } from "../../dispatch/buildQueueKey.js";
import type { DispatchInputs } from "../../dispatch/dispatchInputs.js";
import type { DispatchPolicy } from "../../dispatch/dispatchPolicy.js";
import type { DispatchSelection } from "../../dispatch/dispatchSelection.js";
import type { DispatchState } from "../../dispatch/dispatchState.js";
import { enqueueRequest } from "../../dispatch/enqueueRequest.js";
import { explainWait } from "../../dispatch/explainWait.js";
import { findReachFault } from "../../dispatch/findReachFault.js";
import { listQueueCandidates } from "../../dispatch/listQueueCandidates.js";
import { listTargetCandidates } from "../../dispatch/listTargetCandidates.js";
import { selectRequests } from "../../dispatch/selectRequests.js";
import type { WaitingRequest } from "../../dispatch/waitingRequest.js";
import type { ServiceExplanation } from "./serviceExplanation.js";

const MS_PER_SECOND = 1000;
/** Targets in a list of an answer. */
const MAX_LISTED = 500;

/**
 * Explains what a daemon would decide on a new request now: it is queued and selected by the functions that serve callers, on
 * a copy of the state.
 */
export function explainDispatch(
    state: DispatchState,
    request: WaitingRequest,
    policy: DispatchPolicy,
    inputs: DispatchInputs,
): ServiceExplanation {
    const { account, service } = request.ticket;
    const { state: queued, refusal } = enqueueRequest(state, request, inputs.index);
    let granted: DispatchSelection | undefined;
    let beforeGrant: DispatchState | undefined;
    const remaining = selectRequests(queued, policy, inputs, (selection, before) => {
        if (selection.queue.head.id === request.id) {
            granted = selection;
            beforeGrant = before;
        }
    });
    const compared = beforeGrant ?? remaining;
    const target = granted?.target.target;
    const waiting = compared.queues.get(buildQueueKey(account, service))?.requests.length ?? 0;
    const targets = compareTargets(compared, request, policy, inputs);
    const places = [inputs.dataCentre, target?.dataCentre ?? ""].map(name =>
        inputs.index.dataCentres.get(name)?.region
    );
    const retryAfterMs = refusal?.retryAfterSeconds === undefined
        ? undefined
        : refusal.retryAfterSeconds * MS_PER_SECOND;
    return {
        service,
        part: 1,
        share: {
            status: waiting > 0 ? "backlogged" : "idle",
            waiting: waiting - (refusal ? 0 : 1),
            normalizedService: Math.round(inputs.fairness.getNormalizedService(account)),
        },
        outcome: refusal
            ? { kind: "refusal", reason: refusal.reason, retryAfterMs }
            : target
            ? { kind: "grant", target: target.name }
            : { kind: "wait", reason: explainWait(remaining, service, policy, inputs) },
        candidates: targets.candidates.slice(0, MAX_LISTED),
        leftOut: targets.leftOut.slice(0, MAX_LISTED),
        omitted: Math.max(0, targets.candidates.length - MAX_LISTED)
            + Math.max(0, targets.leftOut.length - MAX_LISTED),
        leavesDataCentre: target && target.dataCentre !== inputs.dataCentre,
        leavesRegion: target && places[0] !== places[1],
    };
}

function compareTargets(
    state: DispatchState,
    { ticket: { account, service } }: WaitingRequest,
    policy: DispatchPolicy,
    inputs: DispatchInputs,
): Pick<ServiceExplanation, "candidates" | "leftOut"> {
    const free = listTargetCandidates(state, service, policy, inputs);
    const queue = listQueueCandidates(state, service, inputs).find(other => other.queue.account === account);
    const faults = new Map(
        free.map(candidate => [
            candidate,
            queue && findReachFault(state, queue, candidate, policy, inputs),
        ]),
    );
    const place = ({ name, dataCentre }: Target): Omit<ServiceExplanation["leftOut"][number], "reason"> => ({
        target: name,
        dataCentre,
        region: inputs.index.dataCentres.get(dataCentre)?.region ?? "",
    });
    const others = inputs.index.configuration.targets.filter(target =>
        target.service === service && !free.some(candidate => candidate.target === target)
    );
    return {
        candidates: free.filter(candidate => faults.get(candidate) === undefined).map((candidate, i) => ({
            ...place(candidate.target),
            isPossible: i === 0,
            score: undefined,
            terms: {
                distance: candidate.distance,
                inUse: candidate.inUse,
                slots: candidate.allowance.slots,
            },
        })),
        leftOut: [
            ...free.flatMap(candidate => {
                const reason = faults.get(candidate);
                return reason === undefined ? [] : [{ ...place(candidate.target), reason }];
            }),
            ...others.map(target => ({
                ...place(target),
                reason: findReason(state, target, policy, inputs),
            })),
        ],
    };
}

/** Returns why a target has no free slot for this instance. */
function findReason(
    state: DispatchState,
    target: Target,
    policy: DispatchPolicy,
    inputs: DispatchInputs,
): string {
    if (!inputs.index.isInService(target)) {
        return "not-in-service";
    }
    const { slots, startDeadline } = policy.getAllowance(state, target, inputs);
    if (slots <= 0) {
        return "no-slots-held";
    }
    return startDeadline <= inputs.now ? "lease-expired" : "slots-taken";
}
