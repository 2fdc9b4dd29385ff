import test from "ava";
import { once } from "node:events";
import type { IncomingMessage } from "node:http";
import { text as readText } from "node:stream/consumers";
import { makeClusterView } from "../../helpers/makeClusterView.js";
import { makeConfigurationIndex } from "../../helpers/makeConfigurationIndex.js";
import { startCallerServer } from "../../helpers/startCallerServer.js";

const chat = JSON.stringify({ model: "model-desk", messages: [] });

test("lists live instances in service as entries, the local data centre first, then the region", async t => {
    const names = ["far@bangor-a", "near@caerdydd-b", "own@caerdydd-a", "sick@caerdydd-a", "gone@caerdydd-a"];
    let outOfService: readonly string[] = [];
    const { send } = await startCallerServer(t, {
        getView: () =>
            makeClusterView(names, {
                index: makeConfigurationIndex(outOfService),
                suspected: new Set(["sick"]),
                leaving: new Set(["gone"]),
            }),
    });
    const listEntries = async (): Promise<readonly string[]> => {
        const { body } = await send("GET", "/v1/entries");
        return (JSON.parse(body) as { entries: { instance: string; }[]; }).entries.map(entry =>
            entry.instance
        );
    };
    t.deepEqual(await listEntries(), ["own", "near", "far"]);
    outOfService = ["caerdydd-a"];
    t.deepEqual(await listEntries(), ["near", "far"]);
});

test("finishes requests in flight while draining and refuses new ones with the other entries", async t => {
    let finish = (): void => {};
    const { open, send, server } = await startCallerServer(t, {
        getView: () =>
            makeClusterView(["other@caerdydd-a", "self@caerdydd-a"], { leaving: new Set(["self"]) }),
        execute: async (_request, writer) => {
            await new Promise<void>(resolve => {
                finish = resolve;
                outgoing.emit("executing");
            });
            writer.writeHead(200, {});
            writer.write(Buffer.from("ok"));
            writer.end();
            return { target: "target-0", status: 200, cost: 1, attempts: 1 };
        },
    });
    const outgoing = open("POST", "/v1/chat/completions");
    outgoing.end(chat);
    await once(outgoing, "executing");
    const drained = server.drain();
    const refused = await send("POST", "/v1/chat/completions", chat);
    t.like(JSON.parse(refused.body), { code: "instance-leaving", outcome: "not-run", entries: ["other:1"] });
    t.is(refused.headers.connection, "close");
    finish();
    const [incoming] = await once(outgoing, "response") as [IncomingMessage];
    t.is(await readText(incoming), "ok");
    await drained;
});
