import test from "ava";
import { StreamVerifier } from "../../../src/standIns/client/streamVerifier.js";

const EXPECTED = ["a ", "b ", "c "];
const DONE = "data: [DONE]\n\n";

function verify(...events: readonly string[]): string {
    const verifier = StreamVerifier.create(EXPECTED);
    for (const event of events) {
        verifier.push(event.slice(0, 5));
        verifier.push(event.slice(5));
    }
    return verifier.state;
}

const makeEvent = (index: number): string => `data: ${JSON.stringify({ index, token: EXPECTED[index] })}\n\n`;

test("accepts a stream only if it has every token once, in order, and then the end marker", t => {
    t.is(verify(makeEvent(0), makeEvent(1), makeEvent(2), DONE), "done");
    t.is(verify(makeEvent(0), makeEvent(1), makeEvent(2)), "open");
    t.is(verify(makeEvent(0), makeEvent(2), DONE), "wrong");
    t.is(verify(makeEvent(0), makeEvent(0), makeEvent(1), makeEvent(2), DONE), "wrong");
    t.is(verify(makeEvent(0), makeEvent(1), DONE), "wrong");
    t.is(verify(makeEvent(0), makeEvent(1), makeEvent(2), DONE, makeEvent(2)), "wrong");
    t.is(verify(makeEvent(0), 'data: {"index":1,"token":"x"}\n\n'), "wrong");
});

test("reports the token count and the problem of a stream that ends with an error event", t => {
    const verifier = StreamVerifier.create(EXPECTED);
    verifier.push(`${makeEvent(0)}event: error\ndata: {"outcome":"unknown"}\n\n`);
    t.is(verifier.state, "error");
    t.is(verifier.tokens, 1);
    t.is(verifier.problem?.outcome, "unknown");
});
