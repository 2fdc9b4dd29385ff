import { MemoryGuard } from "./memoryGuard.js";
import type { RouterOptions } from "./routerOptions.js";

/** Creates the guard of the memory of a router, which collects garbage if the process was started with `--expose-gc`. */
export function createMemoryGuard({ settings, log }: RouterOptions, getNow: () => number): MemoryGuard {
    const collect = globalThis.gc && ((isMinor: boolean) => void globalThis.gc?.(isMinor));
    return MemoryGuard.create({ limitBytes: settings.memoryBytes, log, collect, getNow });
}
