import type { ChildCounters } from "./childCounters.js";
import type { CounterBatch } from "./counterBatch.js";
import type { ServiceFloor } from "./serviceFloor.js";

/** Counters of one node of the aggregation tree. Accounts are the 32-bit hashes of their names. */
export interface CounterState {
    /** Totals of the root in tokens; they never fall. */
    readonly known: ReadonlyMap<number, number>;
    /** Tokens that nodes above this one have not handed to the root yet. */
    readonly unsettled: ReadonlyMap<number, number>;
    /** Normalised service added to lift accounts; merged by maximum. */
    readonly bases: ReadonlyMap<number, number>;
    /** Tokens of this subtree that are in no batch yet. */
    readonly pending: ReadonlyMap<number, number>;
    /** Batches without an answer, oldest first. */
    readonly batches: readonly CounterBatch[];
    /** Tokens that entered `pending` since the start; they never fall. */
    readonly served: ReadonlyMap<number, number>;
    /** Lifts that hold at this node until the root's base or totals exceed them. */
    readonly floors: ReadonlyMap<number, ServiceFloor>;
    /** Requests that wait at this daemon. */
    readonly waiting: ReadonlyMap<number, number>;
    readonly children: ReadonlyMap<string, ChildCounters>;
    /** Sequence of the newest report sent. */
    readonly sequence: number;
    /** Incarnation of each parent that answered, by instance. */
    readonly parents: ReadonlyMap<string, string>;
    /** Parent of the newest answered report; `undefined` while this node acts as root. */
    readonly parent: string | undefined;
    /** Accounts that were backlogged when bases were last lifted. */
    readonly lifted: ReadonlySet<number>;
    /** Newest lowest normalised service of backlogged accounts, kept while none is backlogged. */
    readonly level: number;
    /** Range of normalised service over backlogged accounts; `undefined` when none is. */
    readonly lowest: number | undefined;
    readonly highest: number | undefined;
    /** Monotonic time in milliseconds until which a new root takes totals from its children. */
    readonly collectUntil: number | undefined;
}
