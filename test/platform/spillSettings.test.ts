import test from "ava";
import { mkdtempSync } from "node:fs";
import { writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { parseSettings } from "../../src/platform/parseSettings.js";
import { buildRouterSettings } from "../../src/testing/platform/buildRouterSettings.js";
import { startProcess } from "../testing/platform/startProcess.js";

const settings = buildRouterSettings({
    host: "127.0.0.1",
    firstHost: "127.0.0.1",
    ports: [1, 2, 3, 4, 5],
    storeAddress: "127.0.0.1:1",
    stopTimeoutSeconds: 1,
    revocationMs: 4000,
});

function parseSpill(spill: unknown): ReturnType<typeof parseSettings>["router"]["spill"] {
    return parseSettings(JSON.stringify({ ...settings, spill })).router.spill;
}

// A deployment without the group must behave as before.
test("spill is off without its group, and has defaults with it", t => {
    t.is(parseSpill(undefined), undefined);
    t.deepEqual(parseSpill({}), {
        sameRegionWaitMsPerMb: 1,
        otherRegionWaitMsPerMb: 10,
        minGainMs: 10,
        needsReportedSpeeds: false,
    });
    t.is(parseSpill({ minGainMs: 25 })?.minGainMs, 25);
});

// A misspelt weight would silently leave its default in force.
for (
    const [spill, name] of [
        [{ otherRegionWaitPerMb: 10 }, "spill.otherRegionWaitPerMb"],
        [{ minGainMs: -1 }, "spill.minGainMs"],
        [{ needsReportedSpeeds: "yes" }, "spill.needsReportedSpeeds"],
        [{ sameRegionWaitMsPerMb: "1" }, "spill.sameRegionWaitMsPerMb"],
        [null, "spill"],
    ] as const
) {
    test(`settings ${JSON.stringify(spill)} are refused with the name ${name}`, t => {
        t.regex(String(t.throws(() => parseSpill(spill))), new RegExp(`${name}:`, "u"));
    });
}

// A start that goes on with a fault in the group would route by weights that nobody has set.
test("a router with an unknown setting of the group ends with code 2 and names it", async t => {
    const path = join(mkdtempSync(join(tmpdir(), "spill-settings-")), "settings");
    await writeFile(path, JSON.stringify({ ...settings, spill: { minGain: 1 } }));
    const { exited, getErrors } = startProcess(t, new URL("../../src/platform/main.js", import.meta.url), [
        path,
    ]);
    t.deepEqual(await exited, [2, null]);
    t.true(getErrors().includes("spill.minGain:"), getErrors());
});
