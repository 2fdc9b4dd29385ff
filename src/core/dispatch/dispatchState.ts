import type { CostHistory } from "../fairness/costHistory.js";
import type { Flight } from "./flight.js";
import type { PoolLeases } from "./poolLeases.js";
import type { RequestQueue } from "./requestQueue.js";
import type { TargetAnswers } from "./targetAnswers.js";

/** Queues, requests in flight and leases of one entry. */
export interface DispatchState {
    /** By `account/service`. */
    readonly queues: ReadonlyMap<string, RequestQueue>;
    /** By request id. */
    readonly flights: ReadonlyMap<number, Flight>;
    /** By `service@dataCentre`. */
    readonly pools: ReadonlyMap<string, PoolLeases>;
    /** By target name. */
    readonly answers: ReadonlyMap<string, TargetAnswers>;
    /** Monotonic time in milliseconds of the newest grant at a distance or nearer, by `service/distance`. */
    readonly lastGrants: ReadonlyMap<string, number>;
    /** By `account/service`. */
    readonly costs: ReadonlyMap<string, CostHistory>;
}
