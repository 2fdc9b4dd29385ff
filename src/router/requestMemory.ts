import type { MemoryBudget } from "../core/memory/memoryBudget.js";

/** What the parts that hold the bytes of requests and responses need to know of the memory. */
export interface RequestMemory {
    /** Bodies of requests and responses. */
    readonly budget: MemoryBudget;
    /** True while the process is too close to the limit of its memory. */
    readonly isScarce: boolean;
    /** Returns whether a request with a body of this length may be taken. */
    mayTake(bodyBytes: number): boolean;
    /** Records bytes that were read, whether they are kept or not. */
    recordRead(bytes: number): void;
}
