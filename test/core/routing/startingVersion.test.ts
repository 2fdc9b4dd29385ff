import test from "ava";
import { StartingVersion } from "../../../src/core/routing/startingVersion.js";

test("waits for the newest version that peers had when the instance started, and not for later ones", t => {
    const version = StartingVersion.create({ startedAt: 0 });
    version.recordPeer(6, 100);
    version.recordPeer(7, 300);
    t.false(version.isReached(7, 399));
    t.false(version.isReached(6, 400));
    t.true(version.isReached(7, 401));
    version.recordPeer(9, 500);
    t.true(version.isReached(7, 600));
});

test("takes what it has read for current if no peer is heard of", t => {
    const version = StartingVersion.create({ startedAt: 0 });
    t.false(version.isReached(1, 799));
    t.true(version.isReached(1, 800));
});

// A damaged report, or a version that the store lost for good, must not keep an instance from serving.
test("waits no longer than 10 s", t => {
    const version = StartingVersion.create({ startedAt: 0 });
    version.recordPeer(1e15, 10);
    t.false(version.isReached(1, 9999));
    t.true(version.isReached(1, 10_000));
});
