import type { CostHistory } from "../fairness/costHistory.js";
import type { InFlightRequest } from "./inFlightRequest.js";
import type { PoolLeases } from "./poolLeases.js";
import type { RequestQueue } from "./requestQueue.js";
import type { ResponseCounts } from "./responseCounts.js";

/** Queues, requests in flight and leases of one entry. */
export interface DispatchState {
    /** By `account/service`. */
    readonly queues: ReadonlyMap<string, RequestQueue>;
    /** By request id. */
    readonly requestsInFlight: ReadonlyMap<number, InFlightRequest>;
    /** By `service@dataCentre`. */
    readonly pools: ReadonlyMap<string, PoolLeases>;
    /** By target name. */
    readonly responseCounts: ReadonlyMap<string, ResponseCounts>;
    /** Monotonic time in milliseconds of the newest grant at a distance or nearer, by `service/distance`. */
    readonly lastGrants: ReadonlyMap<string, number>;
    /** By `account/service`. */
    readonly costs: ReadonlyMap<string, CostHistory>;
}
