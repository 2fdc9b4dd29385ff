import test from "ava";
import { CollectedBytes } from "../../../src/core/bodies/collectedBytes.js";

const LENGTHS = [0, 1, 16_384, 16_385, 60_000, 1_000_000];
const MAX_BYTES = 4_194_304;
const PART_BYTES = 10_007;

for (const length of LENGTHS) {
    const content = Buffer.from(Array.from({ length }, (_, i) => i % 251));
    for (const maxBytes of [length, MAX_BYTES]) {
        test(`joins the parts of ${length} bytes, of which ${maxBytes} are expected at most`, t => {
            const body = CollectedBytes.create(maxBytes);
            for (let start = 0; start < length; start += PART_BYTES) {
                body.append(content.subarray(start, start + PART_BYTES));
            }
            t.is(body.length, length);
            t.true(body.join().equals(content));
        });
    }
}

// Guards against bodies that are held twice, in parts and joined.
test("copies the parts of a body of a declared length, and returns it without a further copy", t => {
    const body = CollectedBytes.create(6);
    for (const text of ["ab", "c", "def"]) {
        const part = Buffer.from(text);
        body.append(part);
        part.fill("x");
    }
    t.is(body.length, 6);
    t.is(body.join().toString(), "abcdef");
    t.is(body.join(), body.join());
});

// Guards against bodies in tiny parts that take a multiple of their length: each part was kept as a buffer of its own.
test("holds at most twice the length of a body in parts of one byte, and a quarter beside it once joined", t => {
    const body = CollectedBytes.create(MAX_BYTES);
    let heldBytes = 0;
    for (let i = 0; i < 70_000; i += 1) {
        heldBytes += body.computeGrowth(1);
        body.append(Buffer.from([i % 251]));
        t.is(body.heldBytes, heldBytes);
        t.true(heldBytes <= Math.max(1024, 2 * body.length));
    }
    t.is(body.join().length, 70_000);
    t.true(body.heldBytes <= 1.25 * 70_000);
});
