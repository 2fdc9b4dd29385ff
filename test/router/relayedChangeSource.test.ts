import test from "ava";
import type { ChangeBatch } from "../../src/core/routing/changeBatch.js";
import { ChangeLog } from "../../src/core/routing/changeLog.js";
import type { LogSink } from "../../src/router/logSink.js";
import { RelayedChangeSource } from "../../src/router/relayedChangeSource.js";

function makeBatch(era: number, revision: number, isWhole = false): ChangeBatch {
    return { changes: [], isWhole, era, revision, confirmedAt: 0, confirmedTimeOfDay: 0 };
}

function createSource(
    relayed: ChangeBatch,
    direct: ChangeBatch,
): { source: RelayedChangeSource; changeLog: ChangeLog; } {
    const changeLog = ChangeLog.create();
    const source = RelayedChangeSource.create({
        direct: () => Promise.resolve(direct),
        readPeer: () => Promise.resolve(relayed),
        findReaders: () => ({ hosts: ["reader"], maxAgeMs: 1000 }),
        changeLog,
        log: { write: () => undefined } as unknown as LogSink,
        getNow: () => 0,
    });
    return { source, changeLog };
}

// A reader may be on the other side of a restore of the store, or behind what this instance has read itself.
test("takes nothing from a reader that is older than what this instance has read, and reads from the store instead", async t => {
    const known = { era: 2, revision: 20 };
    const cases = [
        [makeBatch(2, 19), "direct"],
        [makeBatch(1, 30, true), "direct"],
        [makeBatch(2, 19, true), "direct"],
        [makeBatch(3, 25), "direct"],
        [makeBatch(2, 20), "relayed"],
        [makeBatch(3, 12, true), "relayed"],
    ] as const;
    for (const after of [known, undefined]) {
        for (const [relayed, expected] of cases) {
            const direct = makeBatch(3, 22, true);
            const { source, changeLog } = createSource(relayed, direct);
            changeLog.append(makeBatch(2, 20, true));
            if (after === undefined && !relayed.isWhole) {
                continue;
            }
            t.is(
                await source.read(after),
                expected === "direct" ? direct : relayed,
                `${relayed.era} ${relayed.revision}`,
            );
        }
    }
});
