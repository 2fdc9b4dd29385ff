import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** Runs a full garbage collection, so that heap usage counts only reachable objects. */
export function collectGarbage(): void {
    setFlagsFromString("--expose-gc");
    (runInNewContext("gc") as () => void)();
}
