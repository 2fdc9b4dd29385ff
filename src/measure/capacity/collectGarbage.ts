import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** Runs a full garbage collection, so that the heap holds only what is in use. */
export function collectGarbage(): void {
    setFlagsFromString("--expose-gc");
    (runInNewContext("gc") as () => void)();
}
