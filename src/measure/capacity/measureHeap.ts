import { collectGarbage } from "./collectGarbage.js";

/** Returns the heap bytes that the result of `build` keeps alive. */
export function measureHeap(build: () => unknown): number {
    collectGarbage();
    const before = process.memoryUsage().heapUsed;
    const value = [build()];
    collectGarbage();
    const bytes = process.memoryUsage().heapUsed - before;
    value.pop();
    return bytes;
}
