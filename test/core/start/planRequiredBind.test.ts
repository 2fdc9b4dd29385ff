import test from "ava";
import { planRequiredBind } from "../../../src/core/start/planRequiredBind.js";

const NOW = 1000;
const DEADLINE = 2000;

test("tries again for an address that is in use or not configured yet, at growing intervals up to the deadline", t => {
    for (const code of ["EADDRINUSE", "EADDRNOTAVAIL"]) {
        const times = [1, 2, 3, 4, 5].map(failures =>
            planRequiredBind({ code, failures, now: NOW }, DEADLINE)
        );
        t.deepEqual(times, [1025, 1050, 1100, 1200, 1200]);
        t.is(planRequiredBind({ code, failures: 9, now: DEADLINE - 1 }, DEADLINE), DEADLINE);
        t.is(planRequiredBind({ code, failures: 9, now: DEADLINE }, DEADLINE), undefined);
    }
});

test("does not wait after an error that waiting cannot cure", t => {
    for (const code of ["EACCES", "EINVAL", "ERR_SOCKET_BAD_PORT", undefined]) {
        t.is(planRequiredBind({ code, failures: 1, now: NOW }, DEADLINE), undefined);
    }
});
