import test from "ava";
import { EntryDirectory } from "../../src/standIns/client/entryDirectory.js";
import { createTafOptions } from "../../src/testing/createTafOptions.js";
import { Fleet } from "../../src/testing/fleet.js";
import { waitUntil } from "../../src/testing/waitUntil.js";
import { startChatLoad } from "../helpers/startChatLoad.js";

const LENGTH = { minTokens: 20, maxTokens: 60 };

// With SIGKILL instead of the graceful stop, callers see broken connections and the test fails.
test("a rolling restart of the whole fleet under load fails no request", async t => {
    const fleet = await Fleet.create(createTafOptions({
        accounts: { "capel": 1 },
        instances: 3,
        engines: 3,
        plainServers: 0,
        fleet: {
            engine: { ...LENGTH, tokenIntervalMs: 10 },
            proxied: true,
            daemon: { entriesTermMs: 500 },
        },
    }));
    t.teardown(() => fleet.close());
    const directory = EntryDirectory.create(fleet.entries);
    const load = startChatLoad({
        account: "capel",
        concurrency: 12,
        listEntries: () => directory.listEntries(),
        ...LENGTH,
    });
    await waitUntil("responses before the first stop", () => load.results.length > 30);
    for (const name of fleet.daemons) {
        t.is(await fleet.stopDaemon(name), 0);
        await fleet.replaceDaemon(name);
        await fleet.waitUntilServing();
        const resultsBefore = load.results.length;
        await waitUntil("responses after the restart", () => load.results.length > resultsBefore + 30);
    }
    await load.stop();
    const failed = load.results.filter(result => !result.correct);
    t.deepEqual(failed.map(({ verdict, outcome, code }) => ({ verdict, outcome, code })), []);
});
