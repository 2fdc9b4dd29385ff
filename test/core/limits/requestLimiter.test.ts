import test from "ava";
import { createRandom } from "../../../src/standIns/client/createRandom.js";
import { countMostWithin } from "../../../src/testing/countMostWithin.js";
import { LimitFleet } from "../../testing/limits/limitFleet.js";

const WINDOW_MS = 4000;
/** Time after the start within which instances have learned the limit and of each other. */
const SETTLE_MS = 6000;

/** Returns the most requests that a target got in four seconds, as a multiple of what the platform tolerates. */
function findWorstRatio(fleet: LimitFleet, perSecond: number, from: number): number {
    const most = [...fleet.arrivals.values()].map(times =>
        countMostWithin(times.filter(at => at >= from), WINDOW_MS)
    );
    return Math.max(...most) / (1.5 * perSecond * WINDOW_MS / 1000 + 5);
}

function countArrivals(fleet: LimitFleet, from: number, until: number): number {
    return [...fleet.arrivals.values()].flat().filter(at => at >= from && at < until).length;
}

for (
    const [instances, dataCentres, perSecond] of [[1, 1, 4], [7, 3, 5], [7, 3, 0.6], [90, 6, 4], [
        300,
        6,
        3,
    ]] as const
) {
    // Each of many instances alone may send far below one request a second, and instances know little of each other.
    test(`keeps the limit of ${perSecond} a second over ${instances} instances, and uses it where there is demand`, t => {
        const random = createRandom(instances);
        const fleet = LimitFleet.create({
            instances,
            dataCentres,
            targets: dataCentres * 2,
            perSecond,
            getRandom: random,
            // Few instances have all the demand, which all limits together do not cover.
            getDemand: i => i % 5 === 0 ? perSecond * dataCentres * 10 / Math.ceil(instances / 5) : 0,
            isReachable: () => random() > 0.02,
        });
        const until = SETTLE_MS + 10_000;
        fleet.run(until);
        t.true(findWorstRatio(fleet, perSecond, SETTLE_MS) <= 1);
        const limit = dataCentres * 2 * perSecond * (until - SETTLE_MS) / 1000;
        t.true(
            countArrivals(fleet, SETTLE_MS, until) >= 0.75 * limit,
            `${countArrivals(fleet, SETTLE_MS, until)} requests`,
        );
        t.true(countArrivals(fleet, SETTLE_MS, until) <= 1.05 * limit + dataCentres * 2);
    });
}

// Halves of a partition that both take the whole limit exceed it, and so do instances that forget those they cannot hear.
test("keeps the limit while instances are cut off, restart without memory, stop and disagree about their coordinator", t => {
    for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
        const random = createRandom(seed);
        const cuts = new Map<string, number>();
        const fleet = LimitFleet.create({
            instances: 9,
            dataCentres: 3,
            targets: 6,
            perSecond: 5,
            getRandom: random,
            getDemand: () => 8,
            isReachable: (from, to, now) => (cuts.get(`${from} ${to}`) ?? 0) <= now && random() > 0.03,
        });
        const pick = (): number => Math.floor(random() * 9);
        fleet.run(40_000, now => {
            if (now < SETTLE_MS || now % 500 !== 0) {
                return;
            }
            const instance = pick();
            const event = random();
            if (event < 0.15) {
                fleet.kill(instance);
            }
            else if (event < 0.4) {
                fleet.start(instance);
            }
            else if (event < 0.5) {
                fleet.close(instance);
            }
            else {
                // Cuts in one direction only are among them.
                const until = now + 500 + random() * 6000;
                for (let other = 0; other < 9; other += 1) {
                    if (random() < 0.5) {
                        cuts.set(`${instance} ${other}`, until);
                    }
                    if (random() < 0.5) {
                        cuts.set(`${other} ${instance}`, until);
                    }
                }
            }
        });
        t.true(findWorstRatio(fleet, 5, SETTLE_MS) <= 1, `seed ${seed}`);
        t.true(countArrivals(fleet, SETTLE_MS, 40_000) > 0, `seed ${seed}`);
    }
});

test("two halves of a partition use their parts of the limit, and the whole of it once they are together again", t => {
    const random = createRandom(1);
    const fleet = LimitFleet.create({
        instances: 6,
        dataCentres: 1,
        targets: 1,
        perSecond: 8,
        getRandom: random,
        getDemand: () => 5,
        isReachable: (from, to, now) => now < 10_000 || now >= 20_000 || (from < 3) === (to < 3),
    });
    fleet.run(32_000);
    t.true(findWorstRatio(fleet, 8, SETTLE_MS) <= 1);
    t.true(
        countArrivals(fleet, 13_000, 20_000) >= 0.7 * 7 * 8,
        `${countArrivals(fleet, 13_000, 20_000)} requests`,
    );
    t.true(
        countArrivals(fleet, 25_000, 32_000) >= 0.85 * 7 * 8,
        `${countArrivals(fleet, 25_000, 32_000)} requests`,
    );
});

test("the part of an instance that is gone comes back, and those that send nothing hear of a change of the limit", t => {
    const random = createRandom(1);
    const fleet = LimitFleet.create({
        instances: 5,
        dataCentres: 1,
        targets: 2,
        perSecond: 10,
        getRandom: random,
        getDemand: i => i === 0 ? 40 : 0,
        isReachable: () => true,
    });
    fleet.run(8000);
    t.is(fleet.countLimited("t0"), 5);
    fleet.kill(4);
    fleet.run(141_000);
    t.true(
        countArrivals(fleet, 131_000, 141_000) >= 0.95 * 2 * 100,
        `${countArrivals(fleet, 131_000, 141_000)} requests`,
    );
    fleet.setLimit(4);
    fleet.run(155_000);
    t.true(findWorstRatio(fleet, 4, 146_000) <= 1);
    fleet.setLimit(undefined);
    fleet.run(158_000);
    t.is(fleet.countLimited("t0"), 0);
});

// An instance whose requests cannot use its permits, such as those of accounts over their share, kept them from others.
test("permits that an instance cannot use go to others", t => {
    const random = createRandom(1);
    const fleet = LimitFleet.create({
        instances: 2,
        dataCentres: 1,
        targets: 2,
        perSecond: 10,
        getRandom: random,
        getDemand: () => 40,
        isReachable: () => true,
        canUse: i => i === 1,
    });
    fleet.run(20_000);
    // An even split would leave ten a second.
    t.true(
        countArrivals(fleet, 12_000, 20_000) >= 14 * 8,
        `${countArrivals(fleet, 12_000, 20_000)} requests`,
    );
});
