import test from "ava";
import { memorySizes } from "../../../src/core/memory/memorySizes.js";
import { planBufferBytes } from "../../../src/core/memory/planBufferBytes.js";

const MB = 1_048_576;
const HEAP = 100 * MB;

test("baseline, heap, garbage and buffers add up to no more than the limit", t => {
    for (const limitMb of [170, 178, 200, 250, 350, 602]) {
        const sum = memorySizes.baseline + HEAP + memorySizes.garbage + planBufferBytes(limitMb * MB, HEAP);
        t.true(sum <= limitMb * MB, `${limitMb}`);
    }
});

test("buffers have a least size, also if the heap alone may reach the limit", t => {
    t.is(planBufferBytes(88 * MB, HEAP), 8 * MB);
});
