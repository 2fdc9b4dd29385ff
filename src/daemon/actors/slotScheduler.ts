import type { DispatchInputs } from "../../core/dispatch/dispatchInputs.js";
import type { DispatchPolicy } from "../../core/dispatch/dispatchPolicy.js";
import type { DispatchSelection } from "../../core/dispatch/dispatchSelection.js";
import type { DispatchState } from "../../core/dispatch/dispatchState.js";
import { enqueueRequest } from "../../core/dispatch/enqueueRequest.js";
import { expireRequests } from "../../core/dispatch/expireRequests.js";
import { removeRequest } from "../../core/dispatch/removeRequest.js";
import { selectRequests } from "../../core/dispatch/selectRequests.js";
import type { WaitingRequest } from "../../core/dispatch/waitingRequest.js";
import type { RefusalReason } from "../../core/errors/refusalReason.js";
import type { DaemonContext } from "../daemonContext.js";
import type { Accounting } from "./accounting.js";
import type { DispatchInputsReader } from "./dispatchInputsReader.js";
import { DispatchRecorder } from "./dispatchRecorder.js";
import type { OpenRequests } from "./openRequests.js";

interface SlotSchedulerOptions {
    readonly context: DaemonContext;
    readonly accounting: Accounting;
    readonly policy: DispatchPolicy;
    readonly inputs: DispatchInputsReader;
    readonly requests: OpenRequests;
}

/** Applies decisions about waiting requests and reports them to callers, counters and the decision log. */
export class SlotScheduler {
    readonly #options: SlotSchedulerOptions;
    readonly #recorder: DispatchRecorder;
    /** Newest queued request; it is recorded as queued if the next round of grants leaves it without a slot. */
    #newestQueued: WaitingRequest | undefined;

    private constructor(options: SlotSchedulerOptions) {
        this.#options = options;
        this.#recorder = DispatchRecorder.create(options.context);
    }

    /** Creates a scheduler over the open requests. */
    static create(options: SlotSchedulerOptions): SlotScheduler {
        return new SlotScheduler(options);
    }

    /** Refuses and removes a request whose caller has disconnected, if it is still waiting. */
    withdraw(state: DispatchState, request: WaitingRequest): DispatchState {
        if (!this.#options.requests.isWaiting(request)) {
            return state;
        }
        this.refuse(request, "caller-disconnected", "The caller left before a slot was free.");
        return removeRequest(state, request);
    }

    /** Refuses the queued requests whose deadline has passed. */
    expire(state: DispatchState, now: number): DispatchState {
        const { state: remaining, expired } = expireRequests(state, now);
        for (const request of expired) {
            this.refuse(request, "deadline-expired", "No slot was free before the deadline.");
        }
        return remaining;
    }

    /** Queues a request or refuses it. */
    enqueue(state: DispatchState, request: WaitingRequest): DispatchState {
        if (!this.#options.requests.isWaiting(request)) {
            return state;
        }
        const index = this.#options.context.getView().index;
        if (!index) {
            this.refuse(request, "not-configured", "The instance has no configuration yet.");
            return state;
        }
        const result = enqueueRequest(state, request, index);
        if (result.refusal) {
            const { reason, detail, retryAfterSeconds } = result.refusal;
            this.refuse(request, reason, detail, retryAfterSeconds);
            return state;
        }
        this.#newestQueued = request;
        if (this.#options.requests.markQueued(request) === 1) {
            this.#options.accounting.setWaiting(request.ticket.account, 1);
        }
        return result.state;
    }

    /** Refuses a waiting request. */
    refuse(request: WaitingRequest, ...refusal: [RefusalReason, string, number?]): void {
        const error = this.#recorder.refuse(request.ticket, ...refusal);
        this.#updateBacklog(request, this.#options.requests.refuse(request, error));
    }

    /** The counters only need to know whether an account is backlogged, so no other change of its queues is reported. */
    #updateBacklog(request: WaitingRequest, remaining: number | undefined): void {
        if (remaining === 0) {
            this.#options.accounting.setWaiting(request.ticket.account, 0);
        }
    }

    /** Grants slots until no waiting request may use one. */
    grantSlots(state: DispatchState): DispatchState {
        const inputs = this.#options.inputs.read();
        const newestQueued = this.#newestQueued;
        this.#newestQueued = undefined;
        if (!inputs || this.#options.requests.waitingCount === 0) {
            return state;
        }
        const current = selectRequests(
            state,
            this.#options.policy,
            inputs,
            selection => this.#grant(selection, inputs),
        );
        if (newestQueued && this.#options.requests.isWaiting(newestQueued)) {
            this.#recorder.recordQueued(current, newestQueued, this.#options.policy, inputs);
        }
        return current;
    }

    #grant(selection: DispatchSelection, inputs: DispatchInputs): void {
        const { head } = selection.queue;
        const { target, allowance } = selection.target;
        this.#recorder.recordGranted(selection, inputs);
        const remaining = this.#options.requests.grant(head, {
            ticket: head.ticket,
            target,
            fencingNumber: allowance.fencingNumber,
            startDeadline: Math.min(allowance.startDeadline, head.ticket.deadline),
        });
        this.#updateBacklog(head, remaining);
    }
}
