import test from "ava";
import fc from "fast-check";
import { buildLeaseState } from "../../../src/core/lease/buildLeaseState.js";
import { computeGrantableSlots } from "../../../src/core/lease/computeGrantableSlots.js";
import { createLedger } from "../../../src/core/lease/createLedger.js";
import { sumReservedSlots } from "../../../src/core/lease/sumReservedSlots.js";
import { PoolLedgerDriver } from "./poolLedgerDriver.js";

const { timings } = PoolLedgerDriver.policy;

test("grants each free slot to the neediest account across entries", t => {
    const driver = PoolLedgerDriver.create(2);
    driver.reportDemand("a", { sequence: 1, waiting: { 500: 3 } }, 1);
    driver.reportDemand("b", { sequence: 1, waiting: { 10: 1, 600: 1 } }, 2);
    driver.reportLoad(0, 3);
    t.deepEqual([driver.getGranted("a"), driver.getGranted("b")], [1, 1]);
});

test("moves unused slots to a waiting entry once their holder confirms the reduction", t => {
    const driver = PoolLedgerDriver.create(4);
    driver.reportLoad(0, 1);
    driver.reportDemand("a", { sequence: 1, waiting: { 1: 4 } }, 2);
    t.is(driver.getGranted("a"), 4);
    const applied = driver.state.sequence;
    driver.reportDemand("b", { sequence: 1, waiting: { 900: 1 } }, 3);
    t.is(driver.getGranted("b"), 0);
    t.true(
        driver.reportDemand("a", { sequence: 2, held: 4, inUse: 1, appliedSequence: applied }, 4).includes(
            "slot-reclaimed",
        ),
    );
    t.is(driver.getGranted("b"), 0, "the slot stays reserved until the entry confirms");
    const effects = driver.reportDemand(
        "a",
        { sequence: 3, held: 3, inUse: 1, appliedSequence: driver.state.sequence },
        5,
    );
    t.true(effects.includes("push b/1"));
    t.is(driver.getGranted("b"), 1);
});

test("does not grant the slots of an unresponsive entry while its requests still run", t => {
    const driver = PoolLedgerDriver.create(2);
    driver.reportLoad(0, 1);
    driver.reportDemand("a", { sequence: 1, waiting: { 1: 2 } }, 2);
    const renew = (now: number): void => {
        driver.apply({ type: "loan", lender: "lender", slots: { 1: 2 }, deadline: now + 2000 }, now);
    };
    renew(1500);
    renew(3000);
    driver.reportLoad(2, 2200);
    driver.reportDemand("b", { sequence: 1, waiting: { 1: 1 } }, 3001);
    t.is(driver.getGranted("b"), 0, "no load report is newer than the deadline plus margin and lag");
    driver.reportLoad(2, 3002);
    t.is(driver.getGranted("b"), 0, "the load report shows both requests as foreign work");
    driver.reportLoad(1, 3300);
    t.is(driver.getGranted("b"), 1);
});

test("grants borrowed slots only after a load report shows what still runs at the target", t => {
    const driver = PoolLedgerDriver.create(3);
    driver.reportDemand("a", { sequence: 1, waiting: { 1: 3 } }, 1);
    t.is(driver.getGranted("a"), 0);
    driver.reportLoad(2, 2);
    t.is(driver.getGranted("a"), 1);
});

test("does not count requests started since an entry's last report as foreign work", t => {
    const driver = PoolLedgerDriver.create(8);
    driver.reportLoad(0, 1);
    driver.reportDemand("a", { sequence: 1, waiting: { 1: 4 } }, 2);
    t.is(driver.getGranted("a"), 6, "four slots and two ahead");
    driver.reportLoad(7, 100);
    driver.reportDemand("b", { sequence: 1, waiting: { 1: 4 } }, 101);
    t.is(driver.getGranted("b"), 1, "only one of the seven running requests cannot belong to an entry");
});

test("ignores returned slots in a report sent before the entry applied the newest grant", t => {
    const driver = PoolLedgerDriver.create(2);
    driver.reportLoad(0, 1);
    driver.reportDemand("a", { sequence: 1, waiting: { 1: 2 } }, 2);
    driver.reportDemand("a", { sequence: 2, waiting: { 1: 2 }, held: 0, appliedSequence: 0 }, 3);
    t.is(sumReservedSlots(driver.state, "1"), 2);
});

test("ignores old and repeated demand reports", t => {
    const driver = PoolLedgerDriver.create(2);
    driver.reportLoad(0, 1);
    driver.reportDemand("a", { sequence: 5, waiting: { 1: 1 } }, 2);
    const before = driver.state;
    driver.reportDemand("a", { sequence: 4, waiting: { 1: 9 } }, 3);
    driver.reportDemand("a", { sequence: 5, waiting: { 1: 9 } }, 3);
    t.deepEqual(driver.state, before);
});

test("ends leases no later than the loans that cover them", t => {
    const driver = PoolLedgerDriver.create(4, 2);
    driver.apply({ type: "loan", lender: "second", slots: { 1: 2 }, deadline: 1200 }, 0);
    driver.reportLoad(0, 1);
    driver.reportDemand("a", { sequence: 1, waiting: { 1: 2 } }, 2);
    driver.reportDemand("b", { sequence: 1, waiting: { 1: 2 } }, 3);
    const deadlines = ["a/1", "b/1"].map(key => driver.state.entries[key]?.holdings[1]?.deadline);
    t.deepEqual(deadlines, [2000, 1200]);
});

test("reduces leases to the cold limit when a response shows that a target became cold", t => {
    const driver = PoolLedgerDriver.create(8, 8, 1);
    for (const now of [1, 2, 3, 4]) {
        driver.reportLoad(0, now);
    }
    driver.reportDemand("a", { sequence: 1, waiting: { 1: 8 } }, 5);
    t.is(driver.getGranted("a"), 8);
    const effects = driver.reportDemand("a", { sequence: 2, held: 8, inUse: 3, coldAnswers: 1 }, 6);
    t.true(effects.includes("target-cold"));
    t.is(driver.getGranted("a"), 1);
    t.is(computeGrantableSlots(driver.state, "1", 6, timings), 0);
});

test("leaves no slot for reuse while requests of other entries fill a cold target", t => {
    const driver = PoolLedgerDriver.create(8, 8, 1);
    for (const now of [1, 2, 3, 4]) {
        driver.reportLoad(0, now);
    }
    driver.reportDemand("a", { sequence: 1, waiting: { 1: 4 } }, 5);
    driver.reportDemand("b", { sequence: 1, waiting: { 1: 4 } }, 5);
    driver.reportDemand("a", { sequence: 2, held: 4, inUse: 4 }, 6);
    driver.reportDemand("b", { sequence: 2, held: 4, inUse: 4, coldAnswers: 1 }, 6);
    t.deepEqual([driver.getGranted("a"), driver.getGranted("b")], [0, 0]);
    // The requests have ended and both entries have confirmed their reduced leases, so the slot is granted again.
    const appliedSequence = driver.state.sequence;
    driver.reportDemand("a", { sequence: 3, appliedSequence }, 7);
    driver.reportDemand("b", { sequence: 3, appliedSequence, waiting: { 1: 1 } }, 7);
    t.deepEqual([driver.getGranted("a"), driver.getGranted("b")], [0, 1]);
});

test("grants nothing after a takeover until all instances have reported their holdings", t => {
    const driver = PoolLedgerDriver.create(2);
    const pending = ["a", "c"];
    driver.state = { ...driver.state, recovery: createLedger(0, 0, 2000, pending).recovery };
    driver.reportLoad(1, 1);
    driver.reportDemand("b", { sequence: 1, waiting: { 1: 2 } }, 2);
    const reportHoldings = (instance: string, inUse: number, fencingNumber: number): void => {
        driver.apply(
            { type: "holdings", instance, incarnation: "1", inUse: { 1: inUse }, fencingNumber },
            3,
        );
    };
    reportHoldings("a", 1, 5000);
    t.is(driver.getGranted("b"), 0);
    reportHoldings("c", 0, 7);
    driver.reportLoad(1, 4);
    t.is(driver.getGranted("b"), 0, "the request of entry a may have started after this measurement");
    driver.reportLoad(1, 5);
    t.is(driver.getGranted("b"), 1);
    t.is(buildLeaseState(driver.state, "b/1", 4, PoolLedgerDriver.policy).fencingNumber, 5001);
});

test("limits an entry's horizon by a needier account that waits at another entry", t => {
    const driver = PoolLedgerDriver.create(1);
    driver.reportLoad(0, 1);
    driver.reportDemand("a", { sequence: 1, waiting: { 800: 2 } }, 2);
    driver.reportDemand("b", { sequence: 1, waiting: { 50: 1 } }, 3);
    const state = buildLeaseState(driver.state, "a/1", 4, PoolLedgerDriver.policy);
    t.is(state.horizon, 150);
    t.is(state.freeSlots, 0);
});

test("never reserves more slots than are borrowed, in any order of events", t => {
    const event = fc.record({
        entry: fc.constantFrom("a", "b", "c"),
        kind: fc.constantFrom("report", "load", "loan", "tick"),
        waiting: fc.nat(4),
        unused: fc.nat(2),
        delay: fc.nat(700),
        isFresh: fc.boolean(),
    });
    fc.assert(
        fc.property(fc.array(event, { maxLength: 60 }), events => {
            const driver = PoolLedgerDriver.create(4);
            let now = 0;
            for (const [index, { entry, kind, waiting, unused, delay, isFresh }] of events.entries()) {
                now += delay;
                if (kind === "report") {
                    const holding = driver.state.entries[`${entry}/1`]?.holdings[1];
                    const held = Math.max(0, (holding?.granted ?? 0) - unused);
                    const appliedSequence = isFresh ? driver.state.sequence : 0;
                    const inUse = Math.min(held, waiting);
                    driver.reportDemand(
                        entry,
                        { sequence: index + 1, waiting: { 1: waiting }, held, inUse, appliedSequence },
                        now,
                    );
                }
                else if (kind === "load") {
                    driver.reportLoad(0, now);
                }
                else if (kind === "loan") {
                    driver.apply(
                        { type: "loan", lender: "lender", slots: { 1: 4 }, deadline: now + 2000 },
                        now,
                    );
                }
                else {
                    driver.apply({ type: "tick" }, now);
                }
                if (sumReservedSlots(driver.state, "1") > 4) {
                    return false;
                }
            }
            return true;
        }),
        { seed: 20261204, numRuns: 300 },
    );
    t.pass();
});

test("reduces leases to the cold limit when a crashed target refuses connections", t => {
    const driver = PoolLedgerDriver.create(4, 4, 1);
    driver.reportLoad(0, 1, 4);
    driver.reportLoad(0, 251, 4);
    driver.reportLoad(0, 501, 4);
    driver.reportDemand("a", { sequence: 1, waiting: { 1: 4 } }, 502);
    t.is(driver.getGranted("a"), 4);
    t.deepEqual(driver.apply({ type: "load-refused", target: "1" }, 503).slice(0, 2), [
        "target-refused",
        "lease-reduced",
    ]);
    t.is(driver.getGranted("a"), 1);
});
