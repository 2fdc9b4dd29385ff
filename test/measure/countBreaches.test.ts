import test from "ava";
import { countBreaches } from "../../src/measure/faultTrial/countBreaches.js";

test("countBreaches excuses a breach only until shortly after the target has shown that it is cold", t => {
    const breach = { running: 1, bearable: 1, state: "cold" as const, coldSinceMs: 0 };
    t.deepEqual(
        countBreaches([
            { ...breach, atMs: 50, noticedAtMs: undefined },
            { ...breach, atMs: 200, noticedAtMs: 100 },
            { ...breach, atMs: 201, noticedAtMs: 100 },
            // A warm target that was never cold has no notice period.
            { ...breach, state: "warm", atMs: 5000, noticedAtMs: 0 },
        ]),
        { limitBreaches: 2, breachesDuringNotice: 2 },
    );
});
