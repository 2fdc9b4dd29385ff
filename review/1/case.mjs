import { runCase } from "../lib/runCase.mjs";
import { sendRequest } from "../lib/sendRequest.mjs";
import { startEngine } from "../lib/startEngine.mjs";
import { findPorts, startRouter } from "../lib/startRouter.mjs";
import { startStore } from "../lib/startStore.mjs";

const KEY = "key-of-the-account";
const ZONE = "zone-a";
const SERVERS = ["i-one", "i-two", "i-three", "i-four"];
const EVENTS = 30;
const EVENT_MS = 100;
const STREAMS = 24;
const DEADLINE_MS = 12_000;

const wait = ms => new Promise(resolve => setTimeout(resolve, ms));

await runCase(import.meta.url, async ({ record, hasTrouble, directory }) => {
    const store = await startStore();
    const engines = await Promise.all(SERVERS.map(id =>
        startEngine({
            id,
            service: "engine",
            zone: ZONE,
            version: "1",
            slots: 16,
            events: EVENTS,
            eventMs: EVENT_MS,
            isFramed: false,
            record,
        })
    ));
    engines.forEach(engine => store.write(`servers/${engine.id}`, engine.describeEntry()));
    store.write("op/config", {
        version: 3,
        routes: [{
            name: "question",
            host: "h.example",
            pathPrefix: "/q/",
            kind: "streaming",
            service: "engine",
            timeoutMs: DEADLINE_MS,
            targetLatencyMs: 400,
            targetGapMs: 400,
            maxAttempts: 1,
            priority: 1,
        }],
        services: [{ name: "engine", engine: { slots: 16, kvTokens: 396_977 }, maxConnections: 360 }],
        limits: {
            maxHeaderBytes: 16_384,
            maxBodyBytes: 4_194_304,
            headerTimeoutMs: 3000,
            idleTimeoutMs: 15_000,
        },
        tenants: [{ name: "account", apiKeys: [KEY] }],
    });
    const router = await startRouter({
        name: "router-1",
        host: "127.0.0.2",
        firstHost: "127.0.0.2",
        zone: ZONE,
        zones: { [ZONE]: "region-a" },
        ports: await findPorts(5),
        storeAddress: store.address,
        directory,
    });
    await wait(4000);
    const clients = Array.from({ length: STREAMS }, async (_, i) => {
        await wait(i * 20);
        const id = `request-${i}`;
        const { status, headers, body, ending } = await sendRequest({
            host: router.host,
            port: router.port,
            path: "/q/1",
            headers: {
                "Host": "h.example",
                "Request-Id": id,
                "Deadline-Ms": DEADLINE_MS,
                "Authorization": `Bearer ${KEY}`,
                "Token-Usage": "100,30",
            },
            body: "prompt",
        });
        const events = body.split("\n\n").length - 1;
        const isFramed = headers["content-length"] !== undefined
            || headers["transfer-encoding"] !== undefined;
        const isSigned = headers["response-signature"] !== undefined;
        // Without a length or chunks, an answer is complete once its connection has ended in order, outside an event.
        const looksComplete = status === 200 && isSigned && !isFramed && ending === "closed"
            && body.endsWith("\n\n");
        record("client-gets", { request: id, status, isFramed, events, ending, looksComplete });
        return { request: id, events, looksComplete };
    });
    await wait(2000);
    if (hasTrouble) {
        record("server-crashes", { server: engines[0].id });
        engines[0].kill();
    }
    const answers = await Promise.all(clients);
    router.kill("SIGKILL");
    await router.exited;
    engines.forEach(engine => engine.close());
    store.close();
    return answers.filter(({ looksComplete, events }) => looksComplete && events < EVENTS)
        .map(answer => ({ rule: "MIXED", ...answer, eventsOfTheWholeStream: EVENTS }));
});
