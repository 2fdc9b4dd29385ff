import test, { type ExecutionContext } from "ava";
import { createRandom } from "../../../src/standIns/client/createRandom.js";
import { CrashFleet } from "../../testing/crashes/crashFleet.js";
import { makeCrashSubject } from "../../testing/crashes/makeCrashSubject.js";

/** `contactMs`: after the third crash, all instances must refuse the request within this time. */
const CONTACT_MS = 4000;
const SIZES = [7, 90, 300] as const;
const DATA_CENTRES = 3;
const SEEDS = [1, 2, 3];
const BAD = makeCrashSubject("bad");
const POPULAR = makeCrashSubject("popular");

interface Cut {
    readonly dataCentre: string;
    readonly from: number;
    readonly until: number;
}

function createFleet(instances: number, seed: number, cut?: Cut): CrashFleet {
    return CrashFleet.create({
        instances,
        dataCentres: DATA_CENTRES,
        getRandom: createRandom(seed),
        isConnected: (from, to, now) =>
            !cut || now < cut.from || now >= cut.until || from === to || ![from, to].includes(cut.dataCentre),
    });
}

/** Runs until a time while one instance after another gets a complete response to the popular request. */
function runWithPopular(fleet: CrashFleet, instances: number, until: number): void {
    while (fleet.now < until) {
        fleet.finish(Math.floor(fleet.now / 25) % instances, POPULAR);
        fleet.run(Math.min(until, fleet.now + 100));
    }
}

/** Crashes three targets by copies in three data centres, each of which also serves harmless requests. */
function killTargets(fleet: CrashFleet, instances: number, pauseMs: number): readonly typeof BAD[] {
    const harmless = Array.from({ length: 9 }, (_, i) => makeCrashSubject(`harmless ${i}`));
    for (let i = 0; i < instances; i += 1) {
        fleet.finish(i, POPULAR);
    }
    fleet.run(1000);
    for (let crash = 0; crash < DATA_CENTRES; crash += 1) {
        fleet.kill(`t${crash}`, [
            { instance: crash, keys: [BAD.fingerprint.key] },
            ...harmless.slice(crash * 3, crash * 3 + 3).map(({ fingerprint }, i) => ({
                instance: (crash + 1 + i) % instances,
                keys: [fingerprint.key],
            })),
            { instance: (crash + 5) % instances, keys: [POPULAR.fingerprint.key] },
        ]);
        runWithPopular(fleet, instances, fleet.now + pauseMs);
    }
    return [...harmless, POPULAR];
}

function assertHarmless(
    t: ExecutionContext,
    fleet: CrashFleet,
    harmless: readonly typeof BAD[],
    message: string,
): void {
    t.true(harmless.every(subject => fleet.countRefusing(subject) === 0), message);
}

// Each instance sees only the crashes of its own requests.
for (const instances of SIZES) {
    test(`makes ${instances} instances refuse a request within the contact time after its third crash, and no other one`, t => {
        for (const seed of SEEDS) {
            for (const pauseMs of [25, 1000]) {
                const fleet = createFleet(instances, seed);
                const harmless = killTargets(fleet, instances, pauseMs);
                runWithPopular(fleet, instances, fleet.now - pauseMs + CONTACT_MS);
                t.is(fleet.countRefusing(BAD), instances, `seed ${seed}, pause ${pauseMs}`);
                assertHarmless(t, fleet, harmless, `seed ${seed}, pause ${pauseMs}`);
            }
        }
    });

    test(`makes ${instances} instances refuse it within the contact time after a cut or a restart`, t => {
        for (const seed of SEEDS) {
            const fleet = createFleet(instances, seed, { dataCentre: "dc1", from: 900, until: 6000 });
            const harmless = killTargets(fleet, instances, 300);
            runWithPopular(fleet, instances, 6000 + CONTACT_MS);
            t.is(fleet.countRefusing(BAD), instances, `seed ${seed}, cut`);
            fleet.start(4);
            t.is(fleet.countRefusing(BAD), instances - 1);
            fleet.run(fleet.now + 1000);
            t.is(fleet.countRefusing(BAD), instances, `seed ${seed}, restart`);
            assertHarmless(t, fleet, harmless, `seed ${seed}`);
        }
    });
}
