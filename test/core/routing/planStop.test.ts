import test from "ava";
import { planStop } from "../../../src/core/routing/planStop.js";

test("plans a stop in order, and believes estimates only while the platform excuses an end at the kill", t => {
    for (const stopTimeoutMs of [4000, 8000, 30_000]) {
        const { lingerUntil, estimateUntil, finishBy, stopBy } = planStop(1000, stopTimeoutMs);
        t.true(estimateUntil < 1000 + 3000);
        t.true(lingerUntil < finishBy && finishBy < stopBy && stopBy < 1000 + stopTimeoutMs);
    }
});
