import { createRandom } from "../standIns/client/createRandom.js";
import type { CooperativeFleet } from "../testing/platform/cooperativeFleet.js";

type FaultSource = Parameters<CooperativeFleet["targets"][number]["target"]["setFault"]>[0];
type TargetFault = ReturnType<FaultSource>;

const TARGET_FAULTS: readonly TargetFault[] = [
    "cut",
    "lost",
    "crossed",
    "doubled",
    "full",
    "unidentified",
    "extra",
    "error",
    "mute",
    "stale",
    "restarted",
    "empty",
];

/**
 * Creates the function that picks the fault of each request at one target. It draws from a generator of its own, so
 * that the number of requests does not change the other faults of the run.
 *
 * @param share Fraction of the requests that get a fault, from 0 to 1.
 */
export function createFaultSource(seed: number, share: number): FaultSource {
    const random = createRandom(seed);
    return () =>
        random() < share ? TARGET_FAULTS[Math.floor(random() * TARGET_FAULTS.length)] ?? "none" : "none";
}
