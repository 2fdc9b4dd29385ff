import test from "ava";
import { RequestBody } from "../../src/router/requestBody.js";

const PARTS = ["ab", "c", "def"];

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

test("joins the parts of a body of unknown length", t => {
    const body = RequestBody.create(undefined);
    PARTS.forEach(text => body.append(Buffer.from(text)));
    t.is(body.length, 6);
    t.is(body.join().toString(), "abcdef");
});
