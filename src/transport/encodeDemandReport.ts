import { hashName } from "../core/configuration/hashName.js";
import type { PoolDemand } from "../core/dispatch/poolDemand.js";
import type { DemandReport__Output } from "./generated/baobabspread/peer/DemandReport.js";

interface DemandSender {
    readonly instance: string;
    readonly incarnation: string;
    readonly sequence: number;
    readonly appliedSequence: number;
}

/** Returns the message that reports the demand for one pool. */
export function encodeDemandReport(demand: PoolDemand, sender: DemandSender): DemandReport__Output {
    return {
        pool: { service: hashName(demand.service), dataCentre: hashName(demand.dataCentre) },
        ...sender,
        demands: demand.demands.map(({ account, waiting, inFlight, service }) => ({
            account: hashName(account),
            waiting,
            inFlight,
            normalizedService: service,
        })),
        holdings: [...demand.holdings].map(([target, { held, inUse }]) => ({
            target: hashName(target),
            held,
            inUse,
        })),
    };
}
