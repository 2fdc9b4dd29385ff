import test from "ava";
import { AccountUsage } from "../../../src/core/routing/accountUsage.js";

const WINDOW_MS = 4000;

test("one account that floods the fleet does not shrink the share of the others", t => {
    const usage = AccountUsage.create(WINDOW_MS);
    usage.addAsked("flood", 100_000, 0);
    usage.addAsked("small", 1000, 0);
    // 10,000 tokens fit into the window: the small account gets its 1,000, the rest is the flood's share.
    t.is(usage.computeShare(2500, 0), 9000);
});

test("accounts that together ask for less than the capacity have no bound", t => {
    const usage = AccountUsage.create(WINDOW_MS);
    usage.addAsked("a", 100, 0);
    t.is(usage.computeShare(2500, 0), Number.POSITIVE_INFINITY);
});

test("usage of other data centres is not reported as usage of the own one, or it would grow with each report", t => {
    const usage = AccountUsage.create(WINDOW_MS);
    const tokens = new Map([["a", { asked: 10, granted: 10 }]]);
    usage.setPeerUsage("near", { tokens, validUntil: 100 });
    usage.setRemoteUsage("far", { tokens, validUntil: 100 });
    t.deepEqual(usage.listDataCentre(0), [["a", 10, 10]]);
    t.is(usage.getGranted("a", 0), 20);
});

test("the usage of an instance that fell silent is forgotten", t => {
    const usage = AccountUsage.create(WINDOW_MS);
    usage.setPeerUsage("near", { tokens: new Map([["a", { asked: 10, granted: 10 }]]), validUntil: 100 });
    t.is(usage.getGranted("a", 101), 0);
});
