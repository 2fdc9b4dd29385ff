import { openStream } from "../lib/openStream.mjs";
import { runCase } from "../lib/runCase.mjs";
import { startEngine } from "../lib/startEngine.mjs";
import { findPorts, startRouter } from "../lib/startRouter.mjs";
import { startStore } from "../lib/startStore.mjs";

const KEY = "key-of-the-account";
const ZONES = { "zone-a": "region-a", "zone-b": "region-b", "zone-c": "region-c" };
const EVENTS = 50;
const EVENT_MS = 100;
const STREAMS = 24;
const NEW_STREAMS = 24;
const DEADLINE_MS = 15_000;
/** Two seconds, four times the objective or eight times the longest pause, whichever is longest. */
const GAP_MS = 3200;
const RETRIES = 3;
/** The machine loses power this soon after the change is confirmed, and is without it for `DARK_MS`. */
const POWER_OFF_MS = 4;
const DARK_MS = 3000;
/** The machines have served for longer than a stream and a server that leaves may last. */
const STEADY_MS = 32_000;
const MIN_TAKE_UPS = 12;

const wait = ms => new Promise(resolve => setTimeout(resolve, ms));

await runCase(import.meta.url, async ({ record, hasTrouble, directory }) => {
    const store = await startStore();
    const engines = await Promise.all(
        Object.keys(ZONES).map(zone =>
            startEngine({
                id: `i-${zone}`,
                service: "engine",
                zone,
                version: "1",
                slots: 64,
                events: EVENTS,
                eventMs: EVENT_MS,
                record,
            })
        ),
    );
    engines.forEach(engine => store.write(`servers/${engine.id}`, engine.describeEntry()));
    store.write("op/config", buildConfiguration(3, ["/a/"]));
    const ports = await findPorts(5);
    const start = (zone, i) =>
        startRouter({
            name: `router-${zone}`,
            host: `127.0.0.${i + 2}`,
            firstHost: "127.0.0.2",
            zone,
            zones: ZONES,
            ports,
            storeAddress: store.address,
            directory,
        });
    const routers = await Promise.all(Object.keys(ZONES).map(start));
    const [dark, ...others] = routers;
    await wait(STEADY_MS);

    const begin = (router, id, fields = {}) =>
        openStream({
            host: router.host,
            port: router.port,
            path: "/a/1",
            headers: {
                "Host": "h.example",
                "Request-Id": id,
                "Deadline-Ms": DEADLINE_MS,
                "Authorization": `Bearer ${KEY}`,
                "Token-Usage": "100,50",
                ...fields,
            },
            body: "prompt",
            gapMs: GAP_MS,
        });
    /** A client: a broken stream is taken up at another machine, a few times. */
    const runClient = async number => {
        const first = `stream-${number}`;
        const answer = await begin(dark, first);
        const { status, events, ending } = answer;
        record("client-gets", { request: first, status, events: events.length, ending });
        if (ending === "complete" || events.length === 0) {
            return { isTakenUp: false };
        }
        let last = events.at(-1);
        for (let attempt = 1; attempt <= RETRIES; attempt += 1) {
            const id = `${first}-again-${attempt}`;
            const router = others[(number + attempt) % others.length];
            const next = await begin(router, id, { "Last-Event-Id": last, "Resumes": first });
            record("client-takes-up", {
                request: id,
                resumes: first,
                lastEventId: last,
                at: router.host,
                status: next.status,
                events: next.events.length,
                ending: next.ending,
            });
            if (next.events.length > 0) {
                return { isTakenUp: true, goesOn: next.events[0] === last + 1 };
            }
            last = next.events.at(-1) ?? last;
            await wait(Number(next.retryAfter ?? 0.2) * 1000);
        }
        return { isTakenUp: true, goesOn: false };
    };
    const clients = Array.from({ length: STREAMS }, (_, i) => runClient(i));
    await wait(1000);
    store.write("op/config", buildConfiguration(5, ["/a/", "/b/"]));
    record("operator-adds-a-route");
    let restarted;
    if (hasTrouble) {
        await wait(POWER_OFF_MS);
        // A machine without power doesn't answer, and channels to it hang.
        dark.kill("SIGSTOP");
        record("machine-loses-power", { host: dark.host });
        setTimeout(() => {
            dark.kill("SIGKILL");
            record("machine-has-power", { host: dark.host });
            restarted = dark.exited.then(() => start("zone-a", 0));
        }, DARK_MS);
    }
    await wait(DARK_MS);
    const newStreams = await Promise.all(Array.from({ length: NEW_STREAMS }, async (_, i) => {
        await wait(i * 60);
        const id = `new-${i}`;
        const { status, events, ending } = await begin(others[i % others.length], id);
        record("client-gets", { request: id, status, events: events.length, ending });
        return events.length > 0;
    }));
    const results = (await Promise.all(clients)).filter(({ isTakenUp }) => isTakenUp);
    const running = [...routers, ...restarted ? [await restarted] : []];
    running.forEach(router => router.kill("SIGKILL"));
    await Promise.all(running.map(({ exited }) => exited));
    engines.forEach(engine => engine.close());
    store.close();
    const goOn = results.filter(({ goesOn }) => goesOn).length;
    const begun = newStreams.filter(hasBegun => hasBegun).length;
    record("shares", { takenUp: results.length, goOn, newStreams: newStreams.length, begun });
    const isBroken = results.length >= MIN_TAKE_UPS
        && goOn / results.length < begun / newStreams.length / 2;
    return isBroken ? [{ rule: "LOST", takenUp: results.length, goOn, begun }] : [];
});

function buildConfiguration(version, prefixes) {
    return {
        version,
        routes: prefixes.map(pathPrefix => ({
            name: `route ${pathPrefix}`,
            host: "h.example",
            pathPrefix,
            kind: "streaming",
            service: "engine",
            timeoutMs: DEADLINE_MS,
            targetLatencyMs: 800,
            targetGapMs: 400,
            maxAttempts: 2,
            priority: 1,
            resumable: true,
        })),
        services: [{ name: "engine", engine: { slots: 64, kvTokens: 396_977 }, maxConnections: 360 }],
        limits: {
            maxHeaderBytes: 16_384,
            maxBodyBytes: 4_194_304,
            headerTimeoutMs: 3000,
            idleTimeoutMs: 15_000,
        },
        tenants: [{ name: "account", apiKeys: [KEY] }],
    };
}
