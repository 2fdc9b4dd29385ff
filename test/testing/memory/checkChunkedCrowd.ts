import type { ExecutionContext } from "ava";
import { readdirSync } from "node:fs";
import { readProcessUsage } from "../../../src/testing/readProcessUsage.js";
import { waitUntil } from "../../../src/testing/waitUntil.js";
import { ChunkedCrowd } from "./chunkedCrowd.js";
import type { ChunkForm } from "./chunkForm.js";
import { readPeakBytes } from "./readPeakBytes.js";

interface CrowdCheck {
    readonly address: string;
    readonly pid: number;
    readonly form: ChunkForm;
    readonly buildHead: (index: number) => string;
    readonly callers: number;
    /** Bounds of the resident memory in MiB: of its peak, and of what is left after the crowd has gone. */
    readonly peakMb: number;
    readonly laterMb: number;
    /** Sends one request of an ordinary caller and returns its status. */
    readonly sendOrdinary: () => Promise<number>;
}

const BYTES_PER_MB = 1_048_576;
const OK = 200;
const WAVE = { waveCallers: 10, waveMs: 50 };
/** An ordinary caller that is refused comes back this many times. */
const ATTEMPTS = 8;
const RETRY_MS = 250;
/** Descriptors that may be open besides those before the crowd: kept connections of ordinary callers and of targets. */
const SPARE_DESCRIPTORS = 16;

/** A process that has read what the crowd has sent uses less processor time than this in a period. */
const READ_PERIOD_MS = 500;
const READ_CPU_MS = 100;

function countDescriptors(pid: number): number {
    return readdirSync(`/proc/${pid}/fd`).length;
}

/** Waits until the process has read the bytes of the crowd, which it does in less time on a fast machine. */
async function waitUntilRead(pid: number): Promise<void> {
    let { cpuMs } = await readProcessUsage(pid);
    await waitUntil("the crowd is read", async () => {
        await new Promise(resolve => setTimeout(resolve, READ_PERIOD_MS));
        const before = cpuMs;
        ({ cpuMs } = await readProcessUsage(pid));
        return cpuMs - before < READ_CPU_MS;
    });
}

/** Checks that a process bears a crowd of chunked bodies: it answers an ordinary caller meanwhile and later, within bounds. */
export async function checkChunkedCrowd(t: ExecutionContext, check: CrowdCheck): Promise<void> {
    const { pid, peakMb, laterMb, sendOrdinary } = check;
    const descriptors = countDescriptors(pid);
    const crowd = await ChunkedCrowd.open({ ...check, ...WAVE });
    await waitUntilRead(pid);
    const { connected } = crowd;
    const peakDescriptors = countDescriptors(pid);
    const statuses = [await sendOrdinary()];
    while (statuses.at(-1) !== OK && statuses.length < ATTEMPTS) {
        await new Promise(resolve => setTimeout(resolve, RETRY_MS));
        statuses.push(await sendOrdinary());
    }
    t.log(`ordinary caller beside ${connected} connections: ${statuses.join(" ")}`, crowd.countStatuses());
    crowd.close();
    await waitUntil(
        "the connections are closed",
        () => countDescriptors(pid) <= descriptors + SPARE_DESCRIPTORS,
    );
    const isServed = await waitUntil("ordinary callers are served", async () => await sendOrdinary() === OK)
        .then(() => true, () => false);
    const peak = readPeakBytes(pid) / BYTES_PER_MB;
    const later = (await readProcessUsage(pid)).residentBytes / BYTES_PER_MB;
    t.log(`resident memory: ${peak.toFixed(0)} MiB at the peak, ${later.toFixed(0)} later`);
    t.is(statuses.at(-1), OK, "no ordinary request was answered beside the crowd");
    t.true(isServed, "no ordinary request was answered after the crowd");
    t.true(peak < peakMb, `peak of ${peak} MiB`);
    t.true(later < laterMb, `${later} MiB later`);
    t.true(
        peakDescriptors <= descriptors + check.callers + SPARE_DESCRIPTORS,
        `${peakDescriptors} descriptors`,
    );
}
