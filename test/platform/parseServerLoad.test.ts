import test from "ava";
import { parseServerLoad } from "../../src/platform/parseServerLoad.js";

test("decodes what a target states of its load, with and without the time that its work takes", t => {
    const load = { runningRequests: 3, waitingRequests: 1, slots: 8 };
    t.deepEqual(parseServerLoad("3,1,8"), { ...load, workTimeRatio: undefined });
    t.deepEqual(parseServerLoad("3, 1, 8, 150"), { ...load, workTimeRatio: 1.5 });
});

// A ratio out of bounds would make a target the only one that is chosen, or one that is never chosen.
test("limits the stated ratio", t => {
    t.is(parseServerLoad("0,0,8,1")?.workTimeRatio, 0.25);
    t.is(parseServerLoad("0,0,8,999999999")?.workTimeRatio, 10);
});

// A figure that is no number would spread through the score of the target (NaN).
test("takes a malformed or implausible value for none", t => {
    const faulty = [
        "",
        "1",
        "1,2",
        "1,2,0",
        "1,2,3,0",
        "1,2,3,",
        "1,2,3,4,5",
        "a,b,c,d",
        "-1,2,3,4",
        "1,2,3,1e3",
        "1,2,3,NaN",
    ];
    const repeated = "1,2,3,100, 1,2,3,100";
    for (const value of [undefined, ...faulty, repeated, "9".repeat(100_000)]) {
        t.is(parseServerLoad(value), undefined, value?.slice(0, 20));
    }
});
