import test from "ava";
import type { ChangeBatch } from "../../src/core/routing/changeBatch.js";
import { NO_ERA } from "../../src/core/routing/noEra.js";
import { TargetDirectory } from "../../src/core/routing/targetDirectory.js";
import { StoreFollower } from "../../src/platform/storeFollower.js";
import type { LogSink } from "../../src/router/logSink.js";

const MANY = 3000;
const CATCH_UP_MS = 4000;
/** Lines of a log that hold what an operator needs to see that there are odd entries, and which. */
const MAX_LINES = 50;
const SOUND = { service: "s", address: "127.0.0.1:1", zone: "a", slots: 1, state: "ready", sequence: 1 };

interface LogLine {
    readonly event: string;
    readonly fields: Readonly<Record<string, unknown>>;
}

function buildBatch(
    isWhole: boolean,
    revision: number,
    values: Readonly<Record<string, string>>,
): ChangeBatch {
    return {
        changes: Object.entries(values).map(([key, text]) => ({
            key,
            revision,
            value: Buffer.from(text).toString("base64"),
        })),
        isWhole,
        era: NO_ERA,
        revision,
        confirmedAt: 0,
        confirmedTimeOfDay: 0,
    };
}

/** Applies batches and returns the log of each and the targets that are listed afterwards. */
async function applyBatches(
    batches: readonly ChangeBatch[],
): Promise<{ readonly logs: readonly LogLine[][]; readonly targets: readonly string[]; }> {
    const logs: LogLine[][] = [];
    const targetDirectory = TargetDirectory.create(CATCH_UP_MS);
    const follower = StoreFollower.create({
        source: () => {
            const batch = batches[logs.length];
            logs.push([]);
            if (logs.length === batches.length) {
                follower.stop();
            }
            return Promise.resolve(batch as ChangeBatch);
        },
        targetDirectory,
        log: {
            write: (event: string, fields: LogLine["fields"]) => logs.at(-1)?.push({ event, fields }),
        } as unknown as LogSink,
        getNow: () => 0,
        getRandom: () => 0,
        wait: () => Promise.resolve(),
        onConfiguration: () => undefined,
        onTargets: () => undefined,
        onEvacuated: () => undefined,
        onConfirmed: () => undefined,
    });
    await follower.run();
    return { logs, targets: targetDirectory.list(0).map(({ id }) => id) };
}

// Each odd entry wrote up to two lines at each of its changes, so that other lines of the log were dropped.
test("thousands of odd entries: the log says how many there are and names some", async t => {
    const odd = Object.fromEntries(Array.from({ length: MANY }, (_, i) => [`servers/odd-${i}`, "x"]));
    const sound = { "servers/sound": JSON.stringify(SOUND) };
    const { logs, targets } = await applyBatches([
        buildBatch(true, 1, { ...odd, ...sound }),
        buildBatch(false, 2, odd),
        buildBatch(false, 3, { "servers/sound": "x" }),
        buildBatch(false, 4, { ...odd, ...sound }),
    ]);
    t.deepEqual(targets, ["sound"]);
    for (const i of [0, 1, 3]) {
        const lines = logs[i] ?? [];
        t.true(lines.length < MAX_LINES, `${lines.length} lines`);
        t.is(lines.find(({ event }) => event === "targets-invalid")?.fields["count"], MANY);
        t.true(lines.some(({ event, fields }) => event === "target-invalid" && fields["target"] === "odd-0"));
    }
    // One odd entry in place of a target is named together with what it does.
    t.deepEqual(logs[2]?.map(({ event, fields }) => [event, fields["target"], fields["state"]]), [
        ["target-invalid", "sound", undefined],
        ["target-changed", "sound", "removed"],
    ]);
});
