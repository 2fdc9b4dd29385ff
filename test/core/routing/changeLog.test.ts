import test from "ava";
import { ChangeLog } from "../../../src/core/routing/changeLog.js";

const TIMES = { confirmedAt: 0, confirmedTimeOfDay: 0 };

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
    const batch = createLog().listSince(11);
    t.false(batch?.isWhole);
    t.deepEqual(batch?.changes, [{ key: "c", revision: 12, value: "C" }]);
});

test("returns a full snapshot without removed keys if the revision is unknown, too old or ahead of the log", t => {
    for (const after of [undefined, 5, 13]) {
        const batch = createLog().listSince(after);
        t.true(batch?.isWhole);
        t.deepEqual(batch?.changes.map(change => change.key), ["b", "c"]);
    }
});

test("returns nothing before the first batch", t => {
    t.is(ChangeLog.create().listSince(undefined), undefined);
});
