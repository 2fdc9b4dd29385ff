import test from "ava";
import { runOverload } from "../../testing/returns/runOverload.js";

type Load = Omit<Parameters<typeof runOverload>[0], "usesReservations">;

/** Loads whose refused requests should be refused once, on instances that start together and hear nothing of each other. */
const LOADS: Readonly<Record<string, Load>> = {
    // Callers were refused 2.6 and 3.3 times for each refused request.
    "demand of 1.5 times the capacity for 5 s": { demandRatio: 1.5, loadMs: 5000 },
    "demand of twice the capacity for 5 s": { demandRatio: 2, loadMs: 5000 },
    // A noisy account was refused by its usage each time it returned, six times in all.
    "an account that is refused by its usage": {
        demandRatio: 2,
        loadMs: 5000,
        accounts: { a: 10, b: 4, c: 4 },
        tokensPerSecond: 81_600,
    },
    // The promises of the instance are lost, and its callers return to others.
    "an instance is killed": { demandRatio: 1.5, loadMs: 5000, isAlive: (i, now) => i > 0 || now < 2000 },
    // What became due while the process was stopped must not come at once.
    "an instance is stopped for 1 s": {
        demandRatio: 1.5,
        loadMs: 5000,
        isRunning: (i, now) => i > 0 || now < 2000 || now > 3000,
    },
    // Promises that are noticed late must not lapse all.
    "an instance is slow": {
        demandRatio: 1.5,
        loadMs: 5000,
        isRunning: (i, now) => i > 0 || now % 300 === 0,
    },
    // Callers that were promised capacity return while there is none.
    "no capacity for 1.5 s": {
        demandRatio: 1.5,
        loadMs: 5000,
        getSlots: (_, now) => now >= 1500 && now < 3000 ? 0 : 4,
    },
    "half of the capacity goes": { demandRatio: 1.5, loadMs: 4000, getSlots: (_, now) => now < 1500 ? 4 : 2 },
};

for (const [name, load] of Object.entries(LOADS)) {
    test(`${name}: refused once, and no fewer are served or on time`, t => {
        const before = runOverload({ ...load, usesReservations: () => false });
        const { refusalsPerRefused, neverServed, onTime, open } = runOverload({
            ...load,
            usesReservations: () => true,
        });
        t.true(Number(refusalsPerRefused) < 1.5, `${before.refusalsPerRefused}, ${refusalsPerRefused}`);
        t.true(Number(neverServed) <= Number(before.neverServed), `${before.neverServed}, ${neverServed}`);
        t.true(Number(onTime) >= Number(before.onTime), `${before.onTime}, ${onTime}`);
        t.is(open, 0);
    });
}

// New requests of callers with little time would be taken for those that return, and wait behind the others.
test("callers give their requests different times: no fewer are on time", t => {
    const load: Load = { demandRatio: 1.5, loadMs: 5000, getTimeoutMs: position => 1200 + 2800 * position };
    const before = runOverload({ ...load, usesReservations: () => false });
    const mixed = runOverload({ ...load, usesReservations: () => true });
    t.true(Number(mixed.onTime) >= 0.95 * Number(before.onTime), `${before.onTime}, ${mixed.onTime}`);
    t.true(Number(mixed.neverServed) <= 1.05 * Number(before.neverServed));
});

// An instance of the version before refuses those that return; the others must not depend on its promises.
test("older instances beside newer ones: fewer refusals, and no fewer on time", t => {
    const load = { demandRatio: 1.5, loadMs: 5000 };
    const before = runOverload({ ...load, usesReservations: () => false });
    const mixed = runOverload({ ...load, usesReservations: i => i % 2 === 0 });
    t.true(Number(mixed.refusalsPerRefused) < Number(before.refusalsPerRefused));
    t.true(Number(mixed.onTime) >= Number(before.onTime));
});
