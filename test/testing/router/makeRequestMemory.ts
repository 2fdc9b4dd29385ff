import { MemoryBudget } from "../../../src/core/memory/memoryBudget.js";
import type { RequestMemory } from "../../../src/router/requestMemory.js";

/** Makes the memory of a process that is far from its limit, with a budget for bodies and responses in bytes. */
export function makeRequestMemory(maxBytes: number): RequestMemory {
    const budget = MemoryBudget.create(maxBytes);
    return {
        budget,
        isScarce: false,
        mayTake: bytes => budget.has(bytes),
        recordRead: () => undefined,
    };
}
