import type { CostHistory } from "../fairness/costHistory.js";
import type { Flight } from "./flight.js";
import type { PoolLeases } from "./poolLeases.js";
import type { RequestQueue } from "./requestQueue.js";

/** Queues, requests in flight and leases of one entry. */
export interface DispatchState {
    /** By `account/service`. */
    readonly queues: ReadonlyMap<string, RequestQueue>;
    readonly flights: ReadonlyMap<number, Flight>;
    /** By `service@dataCentre`. */
    readonly pools: ReadonlyMap<string, PoolLeases>;
    /** By `account/service`. */
    readonly costs: ReadonlyMap<string, CostHistory>;
}
