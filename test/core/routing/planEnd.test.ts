import test from "ava";
import { planEnd } from "../../../src/core/routing/planEnd.js";

const STARTED_AT = 1000;

test("plans the end of a process in order, and leaves time for the log", t => {
    for (const endMs of [400, 500, 2000]) {
        const { answerBy, closeBy } = planEnd(STARTED_AT, STARTED_AT + endMs);
        t.true(STARTED_AT < answerBy && answerBy < closeBy);
        t.true(closeBy <= STARTED_AT + endMs - 150);
    }
});

// A process that was suspended until its time was up would close connections whose requests it has not read.
test("gives what has arrived a moment also if the time is up", t => {
    const { answerBy, closeBy } = planEnd(STARTED_AT, STARTED_AT - 5000);
    t.true(STARTED_AT < answerBy && answerBy < closeBy);
});
