import test from "ava";
import type { TargetDescriptor } from "../../../src/core/routing/targetDescriptor.js";
import { TargetDirectory } from "../../../src/core/routing/targetDirectory.js";

const DESCRIPTOR: TargetDescriptor = {
    id: "t1",
    service: "s",
    address: "127.0.0.1:1",
    dataCentre: "a",
    slots: 1,
    isDraining: false,
    coldUntil: 0,
    startedAtMs: 0,
};

test("removes a target at once while the store is reachable", t => {
    const directory = TargetDirectory.create(4000);
    directory.set(DESCRIPTOR);
    directory.remove("t1", 100);
    t.deepEqual(directory.list(100), []);
});

test("keeps registrations that expired during a store outage until the grace period ends", t => {
    const directory = TargetDirectory.create(4000);
    directory.set(DESCRIPTOR);
    directory.setUnreachable(0, 0);
    directory.setUnreachable(4900, 4950);
    directory.setReachable(5000);
    directory.remove("t1", 5000);
    t.is(directory.list(6000).length, 1);
    t.deepEqual(directory.list(7300), []);
});

test("keeps a target that registers again within the grace period", t => {
    const directory = TargetDirectory.create(4000);
    directory.set(DESCRIPTOR);
    directory.setUnreachable(0, 0);
    directory.setUnreachable(4900, 4950);
    directory.setReachable(5000);
    directory.replaceAll([], 5000);
    directory.set(DESCRIPTOR);
    t.is(directory.list(9000).length, 1);
});
