import test, { type ExecutionContext } from "ava";
import { gzipSync } from "node:zlib";
import { serializeCanonical } from "../../src/core/configuration/serializeCanonical.js";
import { serializeConfiguration } from "../../src/core/configuration/serializeConfiguration.js";
import { hashText } from "../../src/shared/hashText.js";
import { sendChat } from "../../src/standIns/client/sendChat.js";
import { createTafOptions } from "../../src/testing/createTafOptions.js";
import { Fleet } from "../../src/testing/fleet.js";
import { getAccountKey } from "../../src/testing/getAccountKey.js";
import { readStatus } from "../../src/testing/readStatus.js";
import { waitForRevision } from "../../src/testing/waitForRevision.js";
import { waitUntil } from "../../src/testing/waitUntil.js";
import { startChatLoad } from "../helpers/startChatLoad.js";

const LENGTH = { minTokens: 4, maxTokens: 20 };

async function startFleet(t: ExecutionContext): Promise<Fleet> {
    const fleet = await Fleet.create(createTafOptions({
        accounts: { "capel": 1 },
        instances: 4,
        engines: 3,
        plainServers: 0,
        fleet: { engine: LENGTH, proxied: true },
    }));
    t.teardown(() => fleet.close());
    return fleet;
}

function sendPrompt(fleet: Fleet, name: string): ReturnType<typeof sendChat> {
    return sendChat({
        entry: fleet.getDaemon(name).address,
        key: getAccountKey("capel"),
        model: "model-desk",
        prompt: "Proof [account=capel] [request=single]",
        stream: true,
        ...LENGTH,
    });
}

// The stale replica replies before the peers do. If the daemon trusted the platform before it has asked its peers (with
// `PeerChecker.fetchHighestBundle` empty), the old revision would come into force first.
test("a daemon that restarts beside a stale platform replica never adopts the older revision", async t => {
    const fleet = await startFleet(t);
    const revision = await fleet.publishConfiguration(current => current);
    await waitForRevision(fleet, revision);
    await fleet.platform.setFault({ goBack: 1 });
    await fleet.spawnDaemon("daemon-2");
    await waitUntil("the restarted daemon is ready", async () => {
        const status = await readStatus(fleet, "daemon-2");
        return status?.notReady.length === 0;
    });
    await waitForRevision(fleet, revision);
    const adopted = await fleet.readMetric("daemon-2", "baobabspread_configuration_events_total", {
        reason: "adopted",
    });
    t.is(adopted, 1);
});

// The daemon that starts during the outage has only its seeds to ask: with `PeerChecker.fetchHighestBundle` empty it
// never becomes ready.
test("the fleet serves during a platform outage, and a daemon started meanwhile joins through its seeds", async t => {
    const fleet = await startFleet(t);
    await fleet.platform.setFault({ down: true });
    const load = startChatLoad({
        account: "capel",
        concurrency: 8,
        listEntries: () =>
            Promise.resolve(["daemon-0", "daemon-1", "daemon-2"].map(name => fleet.getDaemon(name).address)),
        ...LENGTH,
    });
    await waitUntil("responses during the outage", () => load.results.length > 100);
    const peerSeeds = ["daemon-0", "daemon-1"].map(name => fleet.links.getPublishedAddress(name));
    await fleet.spawnDaemon("daemon-3", { peerSeeds });
    await waitUntil("the daemon is ready", async () => {
        const status = await readStatus(fleet, "daemon-3");
        return status?.notReady.length === 0 && status.configuration?.revision === fleet.revision;
    });
    await waitUntil("the daemon serves", async () => (await sendPrompt(fleet, "daemon-3")).correct);
    const resultsBefore = load.results.length;
    await waitUntil("further responses", () => load.results.length > resultsBefore + 100);
    await load.stop();
    t.deepEqual(load.results.filter(result => !result.correct), []);
});

// Without the check of references (with `listReferenceFaults` empty) no reader rejects revision 2.
test("invalid bundles are rejected as a whole and shown in the status, and the next valid one is adopted", async t => {
    const fleet = await startFleet(t);
    const good = fleet.configuration;
    const bad = {
        ...good,
        // The changed accounts alone would be valid; no part of the bundle may come into force.
        clientAccounts: good.clientAccounts.map(account => ({ ...account, keyDigests: ["0".repeat(64)] })),
        targets: good.targets.map((target, index) =>
            index > 0 ? target : { ...target, dataCentre: "nowhere" }
        ),
    };
    const encode = (value: object): string => gzipSync(serializeCanonical(value)).toString("base64");
    const compressed = {
        digest: hashText(serializeConfiguration(good)),
        encoding: "gzip+base64",
        data: encode(good),
    };
    const bundles = [
        { revision: 2, digest: hashText(serializeConfiguration(bad)), configuration: bad },
        { revision: 3, ...compressed, data: compressed.data.slice(0, 100) },
    ];
    for (const bundle of bundles) {
        await fleet.platform.publish("configuration", bundle);
        await waitUntil(`readers reject revision ${bundle.revision}`, async () => {
            const statuses = await Promise.all(fleet.daemons.map(name => readStatus(fleet, name)));
            return statuses.filter(status => status?.watchesPlatform)
                .every(status => status?.lastRejection?.revision === bundle.revision);
        });
        for (const name of fleet.daemons) {
            t.is((await readStatus(fleet, name))?.configuration?.revision, 1);
            t.true((await sendPrompt(fleet, name)).correct);
        }
    }
    await fleet.platform.publish("configuration", { revision: 4, ...compressed });
    await waitForRevision(fleet, 4);
    t.true((await sendPrompt(fleet, "daemon-0")).correct);
});
