import test from "ava";
import { planOptionalBind } from "../../../src/core/start/planOptionalBind.js";

test("tries again for ever, in the end every ten seconds", t => {
    const delays = [1, 2, 7, 8, 1000, 100_000].map(failures =>
        planOptionalBind({ failures, now: 5000 }) - 5000
    );
    t.deepEqual(delays, [100, 200, 6400, 10_000, 10_000, 10_000]);
});
