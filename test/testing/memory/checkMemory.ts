import type { ExecutionContext } from "ava";
import type { CooperativeFleet } from "../../../src/testing/platform/cooperativeFleet.js";
import { readPeakBytes } from "./readPeakBytes.js";

const BYTES_PER_MB = 1_048_576;

/** Checks that the router runs and that its resident memory never reached the limit in MiB. */
export function checkMemory(t: ExecutionContext, fleet: CooperativeFleet, limitMb: number): void {
    const [instance] = fleet.instances;
    t.true(instance?.process.running, "the router has ended");
    const peakMb = readPeakBytes(instance?.process.pid ?? 0) / BYTES_PER_MB;
    t.log(`peak of the resident memory: ${peakMb.toFixed(0)} of ${limitMb} MiB`);
    t.true(peakMb < limitMb, `${peakMb} MiB`);
}
