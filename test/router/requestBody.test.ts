import test from "ava";
import { RequestBody } from "../../src/router/requestBody.js";

const PARTS = ["ab", "c", "def"];
const LENGTHS = [0, 1, 16_384, 16_385, 60_000, 1_000_000];
const PART_BYTES = 10_007;

for (const length of LENGTHS) {
    const content = Buffer.from(Array.from({ length }, (_, i) => i % 251));
    for (const declaredBytes of [length, undefined]) {
        test(`joins the parts of ${length} bytes, of which ${declaredBytes ?? "none"} were declared`, t => {
            const body = RequestBody.create(declaredBytes);
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
    const body = RequestBody.create(6);
    for (const text of PARTS) {
        const part = Buffer.from(text);
        body.append(part);
        part.fill("x");
    }
    t.is(body.length, 6);
    t.is(body.join().toString(), "abcdef");
    t.is(body.join(), body.join());
});

test("joins the parts of a body of unknown length in their order", t => {
    const body = RequestBody.create(undefined);
    PARTS.forEach(text => body.append(Buffer.from(text)));
    t.is(body.length, 6);
    t.is(body.join().toString(), "abcdef");
});
