import type { Target } from "../configuration/target.js";
import type { Allowance } from "./allowance.js";
import type { DispatchInputs } from "./dispatchInputs.js";
import type { DispatchState } from "./dispatchState.js";
import type { PoolInterest } from "./poolInterest.js";
import type { QueueCandidate } from "./queueCandidate.js";
import type { TargetCandidate } from "./targetCandidate.js";

/** Decides how an entry distributes slots among its queues. */
export interface DispatchPolicy {
    /** True if slots are leased from the owners of pools. */
    readonly usesLeases: boolean;
    /** Returns the slots that this instance may use at a target. */
    readonly getAllowance: (state: DispatchState, target: Target, inputs: DispatchInputs) => Allowance;
    /** Orders queues; the first one is served first. */
    readonly compareQueues: (a: QueueCandidate, b: QueueCandidate) => number;
    /** Orders targets; the first one is used first. */
    readonly compareTargets: (a: TargetCandidate, b: TargetCandidate) => number;
    /** Returns how a queue uses the pool of its service in a data centre. */
    readonly computeInterest: (
        state: DispatchState,
        queue: QueueCandidate,
        dataCentre: string,
        inputs: DispatchInputs,
    ) => PoolInterest;
    /** True if a queue may use a free slot of the target's pool without a new grant by the owner. */
    readonly isWithinHorizon: (state: DispatchState, queue: QueueCandidate, target: Target) => boolean;
}
