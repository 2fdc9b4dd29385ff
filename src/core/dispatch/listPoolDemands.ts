import { buildPoolKey } from "../lease/buildPoolKey.js";
import { computeDistance } from "./computeDistance.js";
import type { DispatchFacts } from "./dispatchFacts.js";
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
const REPORTED_ACCOUNTS = 4;

/**
 * Lists the demand to report to the owner of each pool that this entry waits for, probes or holds slots of, by
 * pool.
 */
export function listPoolDemands(
    state: DispatchState,
    policy: DispatchPolicy,
    facts: DispatchFacts,
): ReadonlyMap<string, PoolDemand> {
    const demands = new Map<string, PoolDemand>();
    for (const service of facts.index.services.keys()) {
        const queues = listQueueCandidates(state, service, facts);
        for (const dataCentre of facts.index.dataCentres.keys()) {
            const distance = computeDistance(facts.index, facts.dataCentre, dataCentre);
            const targets = facts.index.getPool(service, dataCentre);
            const isUsable = targets.some(target => facts.index.isInService(target));
            const interests = queues.map(queue => ({
                queue,
                interest: isUsable ? policy.computeInterest(state, queue, dataCentre, facts) : "none",
            }));
            const waiting = interests.filter(({ interest }) => interest === "ask").map(({ queue }) => queue);
            const isProbed = interests.some(({ interest }) => interest === "probe");
            const holdings = listHoldings(state, service, dataCentre);
            const key = buildPoolKey(service, dataCentre);
            if (waiting.length > 0 || holdings.size > 0 || isProbed) {
                const answers = new Map(targets.flatMap(({ name }) => {
                    const counted = state.answers.get(name);
                    return counted ? [[name, counted] as const] : [];
                }));
                const input = { service, dataCentre, distance, waiting, holdings, answers };
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
    readonly answers: PoolDemand["answers"];
}

function buildDemand(state: DispatchState, input: DemandInput): PoolDemand {
    const { service, dataCentre, distance, waiting, holdings, answers } = input;
    const lowest = [...waiting].sort((a, b) => a.service - b.service).slice(0, REPORTED_ACCOUNTS);
    const flights = [...state.flights.values()].filter(flight =>
        flight.ticket.service === service && flight.dataCentre === dataCentre
    );
    const count = waiting.reduce((sum, { queue }) => sum + queue.requests.length, 0);
    const returns = state.pools.get(buildPoolKey(service, dataCentre))?.returns ?? 0;
    const counted = [...answers.values()].reduce((sum, { cold, busy }) => sum + cold + busy, 0);
    return {
        service,
        dataCentre,
        distance,
        answers,
        demands: lowest.map(({ queue, service: normalizedService }) => ({
            account: queue.account,
            waiting: queue.requests.length,
            inFlight: flights.filter(flight => flight.ticket.account === queue.account).length,
            service: normalizedService,
        })),
        holdings,
        // Counted in powers of two: the owner needs the exact length of short queues only.
        size: Math.ceil(Math.log2(count + 1)) + Math.ceil(Math.log2(waiting.length + 1)),
        events: returns + counted,
    };
}
