import type { ConfigurationIndex } from "../configuration/configurationIndex.js";
import { buildQueueKey } from "./buildQueueKey.js";
import type { DispatchState } from "./dispatchState.js";
import type { EnqueueResult } from "./enqueueResult.js";
import { estimateWait } from "./estimateWait.js";
import type { RequestQueue } from "./requestQueue.js";
import type { WaitingRequest } from "./waitingRequest.js";

/**
 * Appends a request to its account's queue, or refuses it if the service is unknown or has no target in service,
 * the queue is full, the deadline has passed, or the expected wait exceeds the deadline. A retry goes to the head
 * of the queue and skips the checks of queue length and expected wait, because it has waited before.
 */
export function enqueueRequest(
    state: DispatchState,
    request: WaitingRequest,
    index: ConfigurationIndex,
): EnqueueResult {
    const { ticket, enqueuedAt } = request;
    const service = index.services.get(ticket.service);
    const hasTarget = index.configuration.targets.some(target =>
        target.service === ticket.service && index.isInService(target)
    );
    if (!service || !hasTarget) {
        return {
            state,
            refusal: {
                reason: service ? "no-target" : "unknown-service",
                detail: `No target of service ${ticket.service} is in service.`,
            },
        };
    }
    const key = buildQueueKey(ticket.account, ticket.service);
    const queue = state.queues.get(key) ?? createQueue(ticket.account, ticket.service);
    const isRetry = ticket.excludedTargets.length > 0;
    const waitMs = estimateWait(queue, enqueuedAt, hasFreeSlots(state, ticket.service, enqueuedAt));
    const retryAfterSeconds = Math.max(1, Math.ceil((waitMs ?? 1000) / 1000));
    if (!isRetry && queue.requests.length >= service.queueLimit) {
        return {
            state,
            refusal: { reason: "queue-full", detail: "The account's queue is full.", retryAfterSeconds },
        };
    }
    if (ticket.deadline <= enqueuedAt) {
        return { state, refusal: { reason: "deadline-expired", detail: "The deadline has passed." } };
    }
    if (!isRetry && waitMs !== undefined && enqueuedAt + waitMs > ticket.deadline) {
        return {
            state,
            refusal: {
                reason: "deadline-unreachable",
                detail: `The expected wait is ${Math.round(waitMs)} ms.`,
                retryAfterSeconds,
            },
        };
    }
    const requests = isRetry ? [request, ...queue.requests] : [...queue.requests, request];
    return { state: { ...state, queues: new Map(state.queues).set(key, { ...queue, requests }) } };
}

/**
 * Skips pools in which this entry neither requested slots nor holds a lease: their number of free slots is
 * outdated.
 */
function hasFreeSlots(state: DispatchState, service: string, now: number): boolean {
    return [...state.pools.values()].some(pool =>
        pool.service === service && pool.freeSlots > 0
        && (pool.hasDemand || [...pool.leases.values()].some(lease => lease.deadline > now))
    );
}

function createQueue(account: string, service: string): RequestQueue {
    return { account, service, requests: [], lastGrantAt: undefined, recentGrants: 0, recentBackloggedMs: 0 };
}
