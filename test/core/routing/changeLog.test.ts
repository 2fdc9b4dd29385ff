import test from "ava";
import { ChangeLog } from "../../../src/core/routing/changeLog.js";

const TIMES = { era: 1, confirmedAt: 0, confirmedTimeOfDay: 0 };

function createLog(): ChangeLog {
    const log = ChangeLog.create();
    log.append({
        ...TIMES,
        isWhole: true,
        revision: 10,
        changes: [{ key: "a", revision: 3, value: "A" }, { key: "b", revision: 9, value: "B" }],
    });
    log.append({
        ...TIMES,
        isWhole: false,
        revision: 12,
        changes: [{ key: "a", revision: 11, value: undefined }, { key: "c", revision: 12, value: "C" }],
    });
    return log;
}

test("returns only the changes since a revision that the log covers", t => {
    const batch = createLog().listSince({ era: 1, revision: 11 });
    t.false(batch?.isWhole);
    t.deepEqual(batch?.changes, [{ key: "c", revision: 12, value: "C" }]);
});

test("returns a full snapshot without removed keys if the revision is unknown, too old or ahead of the log", t => {
    for (const revision of [undefined, 5, 13]) {
        const batch = createLog().listSince(revision === undefined ? undefined : { era: 1, revision });
        t.true(batch?.isWhole);
        t.deepEqual(batch?.changes.map(change => change.key), ["b", "c"]);
    }
});

test("returns nothing before the first batch", t => {
    t.is(ChangeLog.create().listSince(undefined), undefined);
});

// Revisions are given out again after a restore, so that the changes since one of an earlier era cannot be told.
test("returns a full snapshot for a revision of another era, and takes no batch of an earlier one", t => {
    const log = createLog();
    t.true(log.listSince({ era: 0, revision: 11 })?.isWhole);
    t.true(log.listSince({ era: 2, revision: 11 })?.isWhole);
    log.append({ ...TIMES, era: 0, isWhole: true, revision: 20, changes: [] });
    t.deepEqual(log.listSince({ era: 1, revision: 11 })?.changes.map(({ key }) => key), ["c"]);
    log.append({
        ...TIMES,
        era: 2,
        isWhole: true,
        revision: 8,
        changes: [{ key: "d", revision: 8, value: "D" }],
    });
    t.deepEqual(log.listSince({ era: 1, revision: 12 })?.changes.map(({ key }) => key), ["d"]);
    t.false(log.listSince({ era: 2, revision: 8 })?.isWhole);
});

// Guards against a log that grows with the size of the values: 500 versions of a large configuration fill the memory.
test("keeps recent changes up to a total length, and gives a full snapshot to readers behind them", t => {
    const log = ChangeLog.create();
    log.append({ ...TIMES, isWhole: true, revision: 1, changes: [] });
    const value = "x".repeat(1_400_000);
    for (let revision = 2; revision <= 6; revision += 1) {
        log.append({ ...TIMES, isWhole: false, revision, changes: [{ key: "a", revision, value }] });
    }
    const recent = log.listSince({ era: 1, revision: 4 });
    t.false(recent?.isWhole);
    t.deepEqual(recent?.changes.map(({ revision }) => revision), [5, 6]);
    const whole = log.listSince({ era: 1, revision: 3 });
    t.true(whole?.isWhole);
    t.deepEqual(whole?.changes.map(({ revision }) => revision), [6]);
    t.deepEqual(log.listSince({ era: 1, revision: 6 })?.changes, []);
});
