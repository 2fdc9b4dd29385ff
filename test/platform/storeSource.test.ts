import test, { type ExecutionContext } from "ava";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { NO_ERA } from "../../src/core/routing/noEra.js";
import { SourceError } from "../../src/core/routing/sourceError.js";
import { StoreSource } from "../../src/platform/storeSource.js";
import { CooperativeStore } from "../../src/standIns/platform/cooperative/cooperativeStore.js";

async function createSource(t: ExecutionContext): Promise<{ store: CooperativeStore; source: StoreSource; }> {
    const store = await CooperativeStore.create();
    const [host, port] = store.address.split(":");
    const source = StoreSource.create({
        address: { host: host ?? "", port: Number(port) },
        getNow: () => performance.now(),
        getTimeOfDay: () => Date.now(),
    });
    t.teardown(() => {
        source.close();
        store.close();
    });
    return { store, source };
}

async function getFailure(promise: Promise<unknown>): Promise<string | undefined> {
    try {
        await promise;
        return undefined;
    }
    catch (error) {
        return error instanceof SourceError ? error.code : String(error);
    }
}

// A watch from a revision that exists again gets no 410, and the changes up to it were missed.
test("reads everything again after a restore, also if the revision exists again", async t => {
    const { store, source } = await createSource(t);
    const copy = store.exportCopy();
    store.write("a", 1);
    const before = await source.read(undefined);
    store.recover(copy);
    t.is(await getFailure(source.read(before, true)), "history-lost", "a revision that does not exist");
    store.write("b", 1);
    store.write("c", 1);
    t.is(await getFailure(source.read(before, true)), "history-lost", "a revision that exists again");
    const after = await source.read(undefined);
    t.is(after.era, before.era + 1);
    t.deepEqual(after.changes.map(({ key }) => key), ["b", "c"]);
    t.is(await getFailure(source.read(after, true)), undefined);
});

test("fails while the store does not name its era as before, and goes on when it does", async t => {
    const { store, source } = await createSource(t);
    const position = await source.read(undefined);
    for (
        const [header, code] of [
            [undefined, "era-missing"],
            ["", "era-unreadable"],
            ["x", "era-unreadable"],
            ["-1", "era-unreadable"],
            ["1.5", "era-unreadable"],
            ["0", "position-outdated"],
        ] as const
    ) {
        store.setEraHeader(header);
        t.is(await getFailure(source.read(position, true)), code, header);
    }
    store.setEraHeader("1");
    t.is(await getFailure(source.read(position, true)), undefined);
});

// A restore between two pages of a complete read mixes two histories.
test("takes neither pages of two eras nor a revision that has gone back", async t => {
    const replies = [
        { era: "1", body: { items: [{ key: "a", revision: 1, value: "" }], hasMore: true, at: 9 } },
        { era: "2", body: { items: [], hasMore: false, at: 5 } },
        { era: undefined, body: { events: [], at: 3 } },
    ];
    const server = createServer((_, response) => {
        const { era, body } = replies.shift() ?? { era: undefined, body: {} };
        response.writeHead(200, era === undefined ? {} : { "Store-Era": era }).end(JSON.stringify(body));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.teardown(() => {
        server.close();
        server.closeAllConnections();
    });
    const { port } = server.address() as AddressInfo;
    const create = (): StoreSource =>
        StoreSource.create({ address: { host: "127.0.0.1", port }, getNow: () => 0, getTimeOfDay: () => 0 });
    t.is(await getFailure(create().read(undefined)), "history-lost");
    t.is(await getFailure(create().read({ era: NO_ERA, revision: 4 }, true)), "history-lost");
});

test("a store that names no era: reads everything again if the revision has gone back", async t => {
    const { store, source } = await createSource(t);
    store.setEraHeader(undefined);
    const position = await source.read(undefined);
    t.is(position.era, NO_ERA);
    t.is(await getFailure(source.read(position, true)), undefined);
    t.is(
        await getFailure(source.read({ era: NO_ERA, revision: position.revision + 5 }, true)),
        "history-lost",
    );
});
