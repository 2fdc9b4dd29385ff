import test from "ava";
import { memorySizes } from "../../src/core/memory/memorySizes.js";
import { planBufferBytes } from "../../src/core/memory/planBufferBytes.js";
import { readRuntimeArguments } from "../testing/memory/readRuntimeArguments.js";

const BYTES_PER_MB = 1_048_576;
const SEMI_SPACES = 3;
const LIMITS_MB = [178, 200];

function readMb(name: string): number {
    const prefix = `--${name}=`;
    const value = readRuntimeArguments().find(argument => argument.startsWith(prefix))?.slice(prefix.length);
    return Number(value);
}

// Guards against a heap that may grow beyond the limit of the process by itself.
test("baseline, heap, garbage and buffers of the deployment add up to no more than the limit", t => {
    const heapMb = readMb("max-old-space-size") + SEMI_SPACES * readMb("max-semi-space-size");
    for (const limitMb of LIMITS_MB) {
        const limitBytes = limitMb * BYTES_PER_MB;
        const heapBytes = heapMb * BYTES_PER_MB;
        const sum = memorySizes.baseline + heapBytes + memorySizes.garbage
            + planBufferBytes(limitBytes, heapBytes);
        t.true(sum <= limitBytes, `${limitMb}`);
    }
    t.true(readRuntimeArguments().includes("--expose-gc"));
});
