import test from "ava";
import { PeerLoads } from "../../../src/core/routing/peerLoads.js";

test("a load that has lapsed no longer counts, though nothing new was reported", t => {
    const loads = PeerLoads.create();
    loads.set("a", { inFlight: 2, pendingTokens: 100, validUntil: 50 });
    loads.set("b", { inFlight: 1, pendingTokens: 10, validUntil: 500 });
    t.is(loads.sum(10).inFlight, 3);
    t.is(loads.sum(60).inFlight, 1);
    t.is(loads.sum(600).pendingTokens, 0);
});

test("a peer that reports no load any more leaves no load behind", t => {
    const loads = PeerLoads.create();
    loads.set("a", { inFlight: 2, pendingTokens: 100, validUntil: 50 });
    t.is(loads.sum(10).inFlight, 2);
    loads.set("a", undefined);
    t.is(loads.sum(10).inFlight, 0);
});

test("the sum of some peers leaves the others out", t => {
    const loads = PeerLoads.create();
    loads.set("a", { inFlight: 2, pendingTokens: 100, validUntil: 50 });
    loads.set("data centre b", { inFlight: 7, pendingTokens: 700, validUntil: 50 });
    t.is(loads.sumOf(["a", "c"], 10).inFlight, 2);
});
