import { buildPoolKey } from "../lease/buildPoolKey.js";
import { computeDistance } from "./computeDistance.js";
import type { DispatchInputs } from "./dispatchInputs.js";
import type { DispatchPolicy } from "./dispatchPolicy.js";
import type { DispatchState } from "./dispatchState.js";
import type { Distance } from "./distance.js";
import { listHoldings } from "./listHoldings.js";
import { listQueueCandidates } from "./listQueueCandidates.js";
import type { PoolDemand } from "./poolDemand.js";
import type { QueueCandidate } from "./queueCandidate.js";

/**
 * Maximum number of accounts in one report. The owner serves the accounts with the lowest service first and
 * receives the next ones in the next report, so reporting all of them would only cost bytes.
 */
const MAX_REPORTED_ACCOUNTS = 4;

/**
 * Lists the demand to report to the owner of each pool that this entry waits for, probes or holds slots of, by
 * pool.
 */
export function listPoolDemands(
    state: DispatchState,
    policy: DispatchPolicy,
    inputs: DispatchInputs,
): ReadonlyMap<string, PoolDemand> {
    const demands = new Map<string, PoolDemand>();
    for (const service of inputs.index.services.keys()) {
        const queues = listQueueCandidates(state, service, inputs);
        for (const dataCentre of inputs.index.dataCentres.keys()) {
            const distance = computeDistance(inputs.index, inputs.dataCentre, dataCentre);
            const targets = inputs.index.getPool(service, dataCentre);
            const isUsable = targets.some(target => inputs.index.isInService(target));
            const interests = queues.map(queue => ({
                queue,
                interest: isUsable ? policy.computeInterest(state, queue, dataCentre, inputs) : "none",
            }));
            const waiting = interests.filter(({ interest }) => interest === "ask").map(({ queue }) => queue);
            const isProbed = interests.some(({ interest }) => interest === "probe");
            const holdings = listHoldings(state, service, dataCentre);
            const key = buildPoolKey(service, dataCentre);
            if (waiting.length > 0 || holdings.size > 0 || isProbed) {
                const responseCounts = new Map(targets.flatMap(({ name }) => {
                    const counts = state.responseCounts.get(name);
                    return counts ? [[name, counts] as const] : [];
                }));
                const input = { service, dataCentre, distance, waiting, holdings, responseCounts };
                demands.set(key, buildDemand(state, input));
            }
        }
    }
    return demands;
}

interface DemandInput {
    readonly service: string;
    readonly dataCentre: string;
    readonly distance: Distance;
    readonly waiting: readonly QueueCandidate[];
    readonly holdings: PoolDemand["holdings"];
    readonly responseCounts: PoolDemand["responseCounts"];
}

function buildDemand(state: DispatchState, input: DemandInput): PoolDemand {
    const { service, dataCentre, distance, waiting, holdings, responseCounts } = input;
    const lowest = [...waiting].sort((a, b) => a.normalizedService - b.normalizedService).slice(
        0,
        MAX_REPORTED_ACCOUNTS,
    );
    const requestsInFlight = [...state.requestsInFlight.values()].filter(request =>
        request.ticket.service === service && request.dataCentre === dataCentre
    );
    const waitingCount = waiting.reduce((sum, { queue }) => sum + queue.requests.length, 0);
    const returnCount = state.pools.get(buildPoolKey(service, dataCentre))?.returnCount ?? 0;
    const responseCount = [...responseCounts.values()].reduce((sum, { cold, busy }) => sum + cold + busy, 0);
    return {
        service,
        dataCentre,
        distance,
        responseCounts,
        demands: lowest.map(({ queue, normalizedService }) => ({
            account: queue.account,
            waiting: queue.requests.length,
            inFlight: requestsInFlight.filter(request => request.ticket.account === queue.account).length,
            normalizedService,
        })),
        holdings,
        // Counted in powers of two: the owner needs the exact length of short queues only.
        size: Math.ceil(Math.log2(waitingCount + 1)) + Math.ceil(Math.log2(waiting.length + 1)),
        events: returnCount + responseCount,
    };
}
