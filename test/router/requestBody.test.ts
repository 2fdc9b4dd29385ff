import test from "ava";
import { RequestBody } from "../../src/router/requestBody.js";

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
