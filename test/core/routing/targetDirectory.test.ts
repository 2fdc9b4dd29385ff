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
    sequence: 0,
    version: "v1",
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

test("adopts from a copy that may be older only registrations that are newer than what is known", t => {
    const make = (
        id: string,
        startedAtMs: number,
        sequence: number,
        isDraining = false,
    ): TargetDescriptor => ({
        ...DESCRIPTOR,
        id,
        startedAtMs,
        sequence,
        isDraining,
    });
    const directory = TargetDirectory.create(4000);
    directory.set(make("leaving", 10, 5, true));
    directory.set(make("gone", 10, 5));
    directory.set(make("restarted", 20, 1));
    directory.remove("gone", 0);
    const copy = [make("leaving", 10, 4), make("gone", 10, 5), make("restarted", 10, 9), make("new", 10, 1)];
    t.deepEqual(directory.replaceAll(copy, 100, true).outdated, ["leaving", "gone", "restarted"]);
    t.deepEqual(
        directory.list(100).map(({ id, startedAtMs, isDraining }) => [id, startedAtMs, isDraining]),
        [["leaving", 10, true], ["restarted", 20, false], ["new", 10, false]],
    );
    directory.replaceAll([make("leaving", 10, 6), make("gone", 10, 6), make("restarted", 30, 1)], 200, true);
    t.deepEqual(
        directory.list(200).map(({ id, isDraining }) => [id, isDraining]),
        [["leaving", false], ["restarted", false], ["gone", false]],
    );
    // A list that is known to be complete is adopted as it is.
    t.deepEqual(directory.replaceAll([make("leaving", 10, 4, true)], 300).outdated, []);
    t.true(directory.list(300)[0]?.isDraining);
});

test("keeps a target that a restored store lacks for the grace period, within the catch-up time", t => {
    const directory = TargetDirectory.create(4000);
    directory.set(DESCRIPTOR);
    directory.setReachable(1000, true);
    directory.replaceAll([], 1000, true);
    t.is(directory.list(3100).length, 1);
    t.is(directory.list(3300).length, 0);
    directory.set(DESCRIPTOR);
    directory.setUnreachable(10_000, 12_400);
    directory.setReachable(13_000, true);
    directory.replaceAll([], 13_000, true);
    t.is(directory.list(13_400).length, 1);
    t.is(directory.list(13_600).length, 0);
});
