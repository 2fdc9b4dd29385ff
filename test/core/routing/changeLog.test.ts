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

test("a reader that knows a revision gets only what changed since", t => {
    const batch = createLog().listSince(11);
    t.false(batch?.isWhole);
    t.deepEqual(batch?.changes, [{ key: "c", revision: 12, value: "C" }]);
});

test("a reader that is too old or comes from a newer source gets everything, without what was removed", t => {
    for (const after of [undefined, 5, 13]) {
        const batch = createLog().listSince(after);
        t.true(batch?.isWhole);
        t.deepEqual(batch?.changes.map(change => change.key), ["b", "c"]);
    }
});

test("an instance that has read nothing hands nothing on", t => {
    t.is(ChangeLog.create().listSince(undefined), undefined);
});
