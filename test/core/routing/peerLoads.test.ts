import test from "ava";
import { PeerLoads } from "../../../src/core/routing/peerLoads.js";

test("drops a load from the sum when it expires, without a new report", t => {
    const loads = PeerLoads.create();
    loads.set("a", { inFlight: 2, pendingTokens: 100, validUntil: 50 });
    loads.set("b", { inFlight: 1, pendingTokens: 10, validUntil: 500 });
    t.is(loads.sum(10).inFlight, 3);
    t.is(loads.sum(60).inFlight, 1);
    t.is(loads.sum(600).pendingTokens, 0);
});

test("drops the load of a peer that no longer reports any", t => {
    const loads = PeerLoads.create();
    loads.set("a", { inFlight: 2, pendingTokens: 100, validUntil: 50 });
    t.is(loads.sum(10).inFlight, 2);
    loads.set("a", undefined);
    t.is(loads.sum(10).inFlight, 0);
});

test("sums only the loads of the given peers", t => {
    const loads = PeerLoads.create();
    loads.set("a", { inFlight: 2, pendingTokens: 100, validUntil: 50 });
    loads.set("data centre b", { inFlight: 7, pendingTokens: 700, validUntil: 50 });
    t.is(loads.sumOf(["a", "c"], 10).inFlight, 2);
});
