import test from "ava";
import { createTafOptions } from "../../src/testing/createTafOptions.js";
import { Fleet } from "../../src/testing/fleet.js";
import { waitForRevision } from "../../src/testing/waitForRevision.js";
import { waitUntil } from "../../src/testing/waitUntil.js";
import { startChatLoad } from "../helpers/startChatLoad.js";

const LENGTH = { minTokens: 4, maxTokens: 20 };
const DATA_CENTRE = "bangor-a";
/** Time limit of invariant I4. */
const NO_NEW_WORK_AFTER_MS = 4000;

// The cut-off daemons can learn of the change only from their peers: with `PeerChecker.#checkPeers` and `fetchIfNewer`
// empty they never get the revision and the test fails.
test("a data centre taken out of service gets no new requests, even from a daemon without the platform", async t => {
    const fleet = await Fleet.create(createTafOptions({
        accounts: { "capel": 1 },
        instances: 6,
        engines: 3,
        plainServers: 0,
        fleet: { engine: LENGTH, proxied: true },
    }));
    t.teardown(() => fleet.close());
    // A daemon of this data centre, to which the pool here is the nearest, and one of another data centre.
    const cutOff = ["daemon-1", "daemon-3"];
    await fleet.links.setFault(fleet.links.listBetween(cutOff, ["platform"]), { mode: "cut" });
    const entries = cutOff.map(name => fleet.getDaemon(name).address);
    const load = startChatLoad({
        account: "capel",
        concurrency: 20,
        listEntries: () => Promise.resolve(entries),
        ...LENGTH,
    });
    const targets = fleet.configuration.targets.filter(target => target.dataCentre === DATA_CENTRE);
    const listArrivals = async () =>
        (await Promise.all(targets.map(target => fleet.targets.readArrivals(target.name)))).flat();
    await waitUntil("requests arrive in the data centre", async () => (await listArrivals()).length > 20);
    const publishedMs = Date.now();
    const revision = await fleet.setInService("dataCentres", DATA_CENTRE, false);
    await waitForRevision(fleet, revision);
    await waitUntil("responses to requests from well after the time limit", () => {
        const after = load.results.filter(result => result.startMs > publishedMs + NO_NEW_WORK_AFTER_MS);
        return after.length > 100;
    });
    await load.stop();
    const lateArrivals = (await listArrivals()).filter(arrival =>
        arrival.startMs > publishedMs + NO_NEW_WORK_AFTER_MS
    );
    t.deepEqual(lateArrivals, []);
    t.deepEqual(load.results.filter(result => !result.correct), []);
});
