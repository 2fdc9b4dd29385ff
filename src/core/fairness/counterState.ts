import type { ChildCounters } from "./childCounters.js";
import type { CounterBatch } from "./counterBatch.js";
import type { ServiceFloor } from "./serviceFloor.js";

/** Counters of one node of the aggregation tree. Accounts are the 32-bit hashes of their names. */
export interface CounterState {
    /** Newest known totals of the root in tokens; they never decrease. */
    readonly totals: ReadonlyMap<number, number>;
    /** Tokens at nodes above this one that the root's totals do not include yet. */
    readonly unsettled: ReadonlyMap<number, number>;
    /** Normalised service added to the accounts by lifts; merged by maximum. */
    readonly bases: ReadonlyMap<number, number>;
    /** Tokens of this subtree that are in no batch yet. */
    readonly pending: ReadonlyMap<number, number>;
    /** Batches without a reply, oldest first. */
    readonly batches: readonly CounterBatch[];
    /** Tokens added to `pending` since the start; they never decrease. */
    readonly served: ReadonlyMap<number, number>;
    /** Local lifts, in force until the root's bases or totals exceed them. */
    readonly floors: ReadonlyMap<number, ServiceFloor>;
    /** Number of requests that wait at this instance. */
    readonly waiting: ReadonlyMap<number, number>;
    readonly children: ReadonlyMap<string, ChildCounters>;
    /** Sequence of the newest report sent. */
    readonly sequence: number;
    /** Incarnation of each parent that replied, by instance. */
    readonly parentIncarnations: ReadonlyMap<string, string>;
    /** Current parent once it has replied; `undefined` while this node acts as root or has to attach again. */
    readonly parent: string | undefined;
    /** Accounts that were backlogged when bases were last lifted. */
    readonly lastBacklogged: ReadonlySet<number>;
    /** Latest lowest normalised service of backlogged accounts, kept while none is backlogged. */
    readonly level: number;
    /** Range of normalised service over backlogged accounts; `undefined` when none is. */
    readonly lowest: number | undefined;
    readonly highest: number | undefined;
    /** Monotonic time in milliseconds until which a new root collects totals from its children. */
    readonly collectUntil: number | undefined;
}
