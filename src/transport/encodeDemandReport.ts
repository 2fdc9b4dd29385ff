import { hashName } from "../core/configuration/hashName.js";
import type { PoolDemand } from "../core/dispatch/poolDemand.js";
import type { DemandReport__Output } from "./generated/baobabspread/peer/DemandReport.js";

interface DemandSender {
    readonly instance: string;
    readonly incarnation: string;
    readonly sequence: number;
    readonly appliedSequence: number;
    /** Hash of the incarnation that sent the applied lease state; 0 when none was applied. */
    readonly appliedOwner: number;
}

/** Encodes the report of the demand for one pool. */
export function encodeDemandReport(demand: PoolDemand, sender: DemandSender): DemandReport__Output {
    return {
        pool: { service: hashName(demand.service), dataCentre: hashName(demand.dataCentre) },
        ...sender,
        demands: demand.demands.map(({ account, waiting, inFlight, normalizedService }) => ({
            account: hashName(account),
            waiting,
            inFlight,
            normalizedService,
        })),
        holdings: [...new Set([...demand.holdings.keys(), ...demand.responseCounts.keys()])].map(target => ({
            target: hashName(target),
            held: demand.holdings.get(target)?.held ?? 0,
            inUse: demand.holdings.get(target)?.inUse ?? 0,
            // Only a new owner needs fencing numbers, and it requests holdings.
            fencingNumber: 0,
            coldAnswers: demand.responseCounts.get(target)?.cold ?? 0,
            busyAnswers: demand.responseCounts.get(target)?.busy ?? 0,
        })),
    };
}
