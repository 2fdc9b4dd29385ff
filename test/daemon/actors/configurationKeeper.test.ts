import test, { type ExecutionContext } from "ava";
import { createHash } from "node:crypto";
import { request } from "undici";
import { buildBundle } from "../../../src/core/configuration/buildBundle.js";
import type { ConfigurationBundle } from "../../../src/core/configuration/configurationBundle.js";
import type { StatusReport } from "../../../src/core/explain/statusReport.js";
import { makeConfiguration } from "../../../src/testing/makeConfiguration.js";
import { TestFleet } from "../../../src/testing/testFleet.js";

function makeBundle(revision: number): ConfigurationBundle {
    return buildBundle(
        makeConfiguration({ shares: [{ name: "standard", weight: revision }] }),
        revision,
        text => createHash("sha256").update(text).digest("hex"),
    );
}

async function startFleet(t: ExecutionContext, names: readonly string[]): Promise<TestFleet> {
    const fleet = await TestFleet.create();
    t.teardown(() => fleet.stop());
    await Promise.all(names.map(name => fleet.spawnDaemon(name)));
    await fleet.publishInstances(1);
    await fleet.publishValue("configuration", makeBundle(1));
    await fleet.waitForRevision(1);
    return fleet;
}

test("two of five daemons watch the platform and the others follow them by delta", async t => {
    const names = ["d0", "d1", "d2", "d3", "d4"];
    const fleet = await startFleet(t, names);
    await fleet.publishValue("configuration", makeBundle(2));
    await fleet.waitForRevision(2);
    const statuses = await Promise.all(names.map(name => fleet.waitForStatus(name, () => true)));
    t.is(statuses.filter(status => status.watchesPlatform).length, 2);
});

test("neither a platform that goes back nor a restart brings an old configuration into force", async t => {
    const fleet = await startFleet(t, ["d0", "d1"]);
    await fleet.publishValue("configuration", makeBundle(2));
    await fleet.waitForRevision(2);
    await fleet.publishValue("configuration", makeBundle(1));
    await fleet.spawnDaemon("d2");
    const status = await fleet.waitForStatus("d2", candidate => candidate.notReady.length === 0);
    t.is(status.configuration?.revision, 2);
    await fleet.waitForRevision(2);
});

test("a faulty bundle is rejected whole, shown in the status, and the next one is adopted", async t => {
    const fleet = await startFleet(t, ["d0"]);
    await fleet.publishValue("configuration", { ...makeBundle(2), digest: "0".repeat(64) });
    const rejected = await fleet.waitForStatus("d0", status => status.lastRejection !== undefined);
    t.is(rejected.configuration?.revision, 1);
    t.is(rejected.lastRejection?.revision, 2);
    await fleet.publishValue("configuration", makeBundle(3));
    await fleet.waitForRevision(3);
    t.pass();
});

test("everything stays in force while the platform is down, and its failures are counted", async t => {
    const fleet = await startFleet(t, ["d0", "d1"]);
    await fleet.platform.stop("SIGKILL");
    const { instances } = await fleet.waitForStatus("d0", () => true);
    let failures = 0;
    while (failures < 3) {
        const page = await request(`http://${instances[0]?.operatorAddress ?? ""}/metrics`);
        const text = await page.body.text();
        failures = Number(/platform_failures_total\{value="configuration"\} (\d+)/.exec(text)?.[1] ?? 0);
    }
    await fleet.waitForRevision(1);
    t.pass();
});

test("an instance that stops answering is suspected, and one that returns under its name is not", async t => {
    const fleet = await startFleet(t, ["d0", "d1"]);
    const isSuspected = (status: StatusReport): boolean =>
        status.instances.some(instance => instance.name === "d1" && instance.suspected);
    await fleet.killDaemon("d1");
    await fleet.waitForStatus("d0", isSuspected);
    await fleet.spawnDaemon("d1");
    await fleet.publishInstances(2);
    const status = await fleet.waitForStatus("d0", candidate => !isSuspected(candidate));
    t.is(status.instanceListRevision, 2);
});
