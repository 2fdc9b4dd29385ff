import test, { type ExecutionContext } from "ava";
import { buildBundle } from "../../../src/core/configuration/buildBundle.js";
import type { ConfigurationBundle } from "../../../src/core/configuration/configurationBundle.js";
import type { StatusReport } from "../../../src/core/explain/statusReport.js";
import { hashText } from "../../../src/shared/hashText.js";
import { Fleet } from "../../../src/testing/fleet.js";
import { makeConfiguration } from "../../../src/testing/makeConfiguration.js";
import { waitForStatus } from "../../../src/testing/waitForStatus.js";
import { waitUntil } from "../../../src/testing/waitUntil.js";

function makeBundle(revision: number): ConfigurationBundle {
    return buildBundle(
        makeConfiguration({ shares: [{ name: "standard", weight: revision }] }),
        revision,
        hashText,
    );
}

/** Starts a fleet with revision 1 in force everywhere. */
async function startFleet(t: ExecutionContext, names: readonly string[]): Promise<Fleet> {
    const fleet = await Fleet.create({
        configuration: makeConfiguration(),
        instances: Object.fromEntries(names.map(name => [name, "caerdydd-a"])),
    });
    t.teardown(() => fleet.close());
    return fleet;
}

async function waitForRevision(fleet: Fleet, revision: number): Promise<void> {
    await Promise.all(
        fleet.daemons.map(name =>
            waitForStatus(fleet, name, status => status.configuration?.revision === revision)
        ),
    );
}

test("distributes a new configuration to five daemons of which only two watch the platform", async t => {
    const names = ["d0", "d1", "d2", "d3", "d4"];
    const fleet = await startFleet(t, names);
    await fleet.platform.publish("configuration", makeBundle(2));
    await waitForRevision(fleet, 2);
    const statuses = await Promise.all(names.map(name => waitForStatus(fleet, name, () => true)));
    t.is(statuses.filter(status => status.watchesPlatform).length, 2);
});

test("keeps the newest configuration when the platform reverts to an older one and a daemon restarts", async t => {
    const fleet = await startFleet(t, ["d0", "d1", "d2"]);
    await fleet.platform.publish("configuration", makeBundle(2));
    await waitForRevision(fleet, 2);
    await fleet.killDaemon("d2");
    await fleet.platform.publish("configuration", makeBundle(1));
    await fleet.replaceDaemon("d2");
    const status = await waitForStatus(fleet, "d2", candidate => candidate.notReady.length === 0);
    t.is(status.configuration?.revision, 2);
    await waitForRevision(fleet, 2);
});

test("rejects a bundle with a wrong digest, reports it in the status and adopts the next one", async t => {
    const fleet = await startFleet(t, ["d0"]);
    await fleet.platform.publish("configuration", { ...makeBundle(2), digest: "0".repeat(64) });
    const rejected = await waitForStatus(fleet, "d0", status => status.lastRejection !== undefined);
    t.is(rejected.configuration?.revision, 1);
    t.is(rejected.lastRejection?.revision, 2);
    await fleet.platform.publish("configuration", makeBundle(3));
    await waitForRevision(fleet, 3);
    t.pass();
});

test("keeps the configuration in force and counts failed calls while the platform is down", async t => {
    const fleet = await startFleet(t, ["d0", "d1"]);
    await fleet.platform.close();
    await waitUntil(
        "three failed calls are counted",
        async () =>
            (await fleet.readMetric("d0", "baobabspread_platform_failures_total", { value: "configuration" })
                ?? 0) >= 3,
    );
    await waitForRevision(fleet, 1);
    t.pass();
});

test("suspects an unresponsive instance until one under the same name replaces it", async t => {
    const fleet = await startFleet(t, ["d0", "d1"]);
    const isSuspected = (status: StatusReport): boolean =>
        status.instances.some(instance => instance.name === "d1" && instance.suspected);
    await fleet.killDaemon("d1");
    await waitForStatus(fleet, "d0", isSuspected);
    await fleet.replaceDaemon("d1");
    const status = await waitForStatus(fleet, "d0", candidate => !isSuspected(candidate));
    t.is(status.instanceListRevision, 2);
});
