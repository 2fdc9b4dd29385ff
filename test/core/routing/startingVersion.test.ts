import test from "ava";
import { StartingVersion } from "../../../src/core/routing/startingVersion.js";

function createVersion(peers: readonly string[] = ["p", "q"]): StartingVersion {
    return StartingVersion.create({ startedAt: 0, listPeers: () => peers });
}

test("waits for the newest version that peers had when the instance started, and not for later ones", t => {
    const version = createVersion();
    version.recordPeer("p", { version: 6, startedMsAgo: undefined }, 100);
    version.recordPeer("q", { version: 7, startedMsAgo: undefined }, 300);
    t.false(version.isReached(7, 399));
    t.false(version.isReached(6, 400));
    t.true(version.isReached(7, 401));
    version.recordPeer("q", { version: 9, startedMsAgo: undefined }, 500);
    t.true(version.isReached(7, 600));
    t.is(version.endReason, "peer-heard");
});

test("takes what it has read for current if no peer is heard of", t => {
    const version = createVersion();
    t.false(version.isReached(1, 799));
    t.true(version.isReached(1, 800));
    t.is(version.endReason, "no-peer");
});

// A damaged report, or a version that the store lost for good, must not keep an instance from serving.
test("waits no longer than 10 s", t => {
    const version = createVersion();
    version.recordPeer("p", { version: 1e15, startedMsAgo: undefined }, 10);
    t.false(version.isReached(1, 9999));
    t.true(version.isReached(1, 10_000));
    t.is(version.endReason, "timeout");
});

test("does not wait for a word of a peer that knows a version once all have said that they have just started", t => {
    const version = createVersion();
    version.recordPeer("p", { version: undefined, startedMsAgo: 20 }, 30);
    t.false(version.isReached(1, 300));
    version.recordPeer("q", { version: undefined, startedMsAgo: 10 }, 100);
    // It may still hear of an instance that runs, and would tell this one.
    t.false(version.isReached(1, 389));
    t.true(version.isReached(1, 390));
    t.is(version.endReason, "peers-started");
});

test("waits as long as before if a seed or a member was not heard, or if there is none", t => {
    for (const peers of [["p", "q"], []]) {
        const version = createVersion(peers);
        version.recordPeer("p", { version: undefined, startedMsAgo: 0 }, 30);
        t.false(version.isReached(1, 799));
        t.true(version.isReached(1, 800));
    }
});

test("a peer that has found one that did not just start, or was started long ago, is none that has just started", t => {
    const version = createVersion(["p"]);
    version.recordPeer("p", { version: undefined, startedMsAgo: 0 }, 30);
    version.recordPeer("p", { version: undefined, startedMsAgo: undefined }, 200);
    t.false(version.isReached(1, 500));
    t.is(version.getStartedMsAgo(500), 500);
    version.recordPeer("p", { version: 3, startedMsAgo: undefined }, 550);
    t.is(version.getStartedMsAgo(600), undefined);
    t.is(createVersion().getStartedMsAgo(10_000), undefined);
});

// Instances that start together do not accept at the same moment; the first then names its version.
test("the version of a peer that has just started is needed, and does not prolong the wait", t => {
    const version = createVersion(["p"]);
    version.recordPeer("p", { version: undefined, startedMsAgo: 50 }, 60);
    version.recordPeer("p", { version: 4, startedMsAgo: 300 }, 310);
    t.false(version.isReached(3, 320));
    t.true(version.isReached(4, 320));
    t.is(version.getStartedMsAgo(320), 320);
});
