import type { DispatchInputs } from "../../core/dispatch/dispatchInputs.js";
import type { DispatchPolicy } from "../../core/dispatch/dispatchPolicy.js";
import type { DispatchSelection } from "../../core/dispatch/dispatchSelection.js";
import type { DispatchState } from "../../core/dispatch/dispatchState.js";
import { explainWait } from "../../core/dispatch/explainWait.js";
import type { WaitingRequest } from "../../core/dispatch/waitingRequest.js";
import type { RefusalReason } from "../../core/errors/refusalReason.js";
import { RequestError } from "../../core/errors/requestError.js";
import type { Decision } from "../../core/explain/decision.js";
import type { RequestTicket } from "../../core/request/requestTicket.js";
import type { DaemonContext } from "../daemonContext.js";

const GRANT_REASONS = ["own-data-centre", "own-region", "other-region"] as const;

/** Counts the dispatcher's decisions and records them for `explain`. */
export class DispatchRecorder {
    readonly #context: DaemonContext;

    private constructor(context: DaemonContext) {
        this.#context = context;
    }

    /** Creates a recorder for one daemon. */
    static create(context: DaemonContext): DispatchRecorder {
        return new DispatchRecorder(context);
    }

    /** Records a refusal and returns its error. The outcome is `not-run`: nothing was written to a target. */
    refuse(
        ticket: RequestTicket,
        reason: RefusalReason,
        detail: string,
        retryAfterSeconds?: number,
    ): RequestError {
        this.#record("refused", reason, ticket, retryAfterSeconds === undefined ? {} : { retryAfterSeconds });
        return RequestError.create(
            reason,
            detail,
            retryAfterSeconds === undefined ? {} : { retryAfterSeconds },
        );
    }

    /** Records that a request is queued and why it was not granted a slot at once. */
    recordQueued(
        state: DispatchState,
        request: WaitingRequest,
        policy: DispatchPolicy,
        inputs: DispatchInputs,
    ): void {
        const { ticket } = request;
        this.#record("queued", explainWait(state, ticket.service, policy, inputs), ticket, {
            queueLength: state.queues.get(`${ticket.account}/${ticket.service}`)?.requests.length ?? 0,
        });
    }

    /** Records that a request was granted a slot, and its queueing latency. */
    recordGranted(selection: DispatchSelection, inputs: DispatchInputs): void {
        const { head, normalizedService } = selection.queue;
        const waitedMs = inputs.now - head.enqueuedAt;
        this.#context.metrics.observeLatency("queueing", waitedMs);
        this.#record("granted", GRANT_REASONS[selection.target.distance], head.ticket, {
            target: selection.target.target.name,
            waitedMs: Math.round(waitedMs),
            normalizedService: Math.round(normalizedService),
        });
    }

    #record(
        kind: string,
        reason: string,
        ticket: RequestTicket,
        fields: NonNullable<Decision["fields"]>,
    ): void {
        const { target, ...remainingFields } = fields;
        this.#context.metrics.count("dispatch_decisions_total", { kind, reason });
        this.#context.recordDecision({
            timeMs: Date.now(),
            kind,
            reason,
            requestId: ticket.requestId,
            account: ticket.account,
            service: ticket.service,
            ...typeof target === "string" ? { target } : {},
            fields: remainingFields,
        });
    }
}
