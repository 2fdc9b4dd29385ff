import test from "ava";
import { EntryDirectory } from "../../src/standIns/client/entryDirectory.js";
import { sendCall } from "../../src/standIns/client/sendCall.js";
import { sendChat } from "../../src/standIns/client/sendChat.js";
import { createTafOptions } from "../../src/testing/createTafOptions.js";
import { Fleet } from "../../src/testing/fleet.js";
import { getAccountKey } from "../../src/testing/getAccountKey.js";
import { readStatus } from "../../src/testing/readStatus.js";
import { waitForOrders } from "../../src/testing/waitForOrders.js";

const LENGTH = { minTokens: 4, maxTokens: 40 };
const ACCOUNTS = { "capel": 1, "llan": 4 };

test("every response reaches the caller of its request, through every entry, from both services", async t => {
    const fleet = await Fleet.create(createTafOptions({
        accounts: ACCOUNTS,
        instances: 3,
        engines: 3,
        engineSlots: 6,
        plainServers: 1,
        fleet: { engine: LENGTH, proxied: true },
    }));
    t.teardown(() => fleet.close());
    const entries = await EntryDirectory.create(fleet.entries.slice(0, 1)).listEntries();
    t.deepEqual([...entries].sort(), [...fleet.entries].sort());
    await waitForOrders(fleet, "capel");
    const results = await Promise.all(Array.from({ length: 90 }, (_, index) => {
        const account = index % 2 === 0 ? "capel" : "llan";
        const common = { entry: entries[index % entries.length] ?? "", account, key: getAccountKey(account) };
        const markers = `[account=${account}] [request=${index}]`;
        if (index % 3 === 0) {
            return sendCall({
                ...common,
                service: "order-book",
                method: "POST",
                path: "/orders",
                body: JSON.stringify({ order: markers }),
            });
        }
        return sendChat({
            ...common,
            ...LENGTH,
            model: "model-desk",
            prompt: `Proof ${markers}`,
            stream: index % 4 === 1,
        });
    }));
    t.deepEqual(results.filter(result => !result.correct), []);
    const arrivals = await Promise.all(fleet.targets.names.map(name => fleet.targets.readArrivals(name)));
    // The orders of waitForOrders have UUIDs as markers.
    const markers = arrivals.flat().map(arrival => arrival.marker).filter(marker => /^\d+$/.test(marker));
    t.deepEqual(
        markers.map(Number).sort((a, b) => a - b),
        Array.from({ length: 90 }, (_, index) => index),
    );
    const summaries = await fleet.targets.readSummaries();
    t.is(summaries.reduce((sum, summary) => sum + summary.breaches, 0), 0);
    const statuses = await Promise.all(fleet.daemons.map(name => readStatus(fleet, name)));
    const owned = statuses.flatMap(status =>
        (status?.sections["targets"] ?? []) as readonly { readonly target: string; }[]
    );
    const used = fleet.targets.names.filter((_, index) => (arrivals[index] ?? []).length > 0);
    t.deepEqual(used.filter(name => !owned.some(({ target }) => target === name)), []);
    t.true(Object.values(await fleet.links.readBytes()).some(bytes => bytes > 0));
});
