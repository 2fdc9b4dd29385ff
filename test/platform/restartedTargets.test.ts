import test, { type ExecutionContext, registerCompletionHandler } from "ava";
import { createRouterFleet } from "../testing/router/createRouterFleet.js";
import { VersionedEngines } from "../testing/router/versionedEngines.js";

type Engines = Awaited<ReturnType<typeof VersionedEngines.create>>;
type StreamPart = Awaited<ReturnType<Engines["start"]>>;

// Half-open connections left by a fault would keep the test process alive.
registerCompletionHandler(() => process.exit());

const STREAMS = 12;
const EVENTS = 12;
const INSTANCES = 2;
const RETRY_MS = 600;
/** A change of the list is read within this time. */
const LIST_MS = 1500;

/** Begins streams at some instances; a fault breaks them. */
function startAll(engines: Engines, instances: number): Promise<readonly StreamPart[]> {
    return Promise.all(Array.from({ length: STREAMS }, (_, i) => engines.start(i % instances)));
}

/** Takes broken streams up at the other instance. Returns how many are complete, and how many are joined from two versions. */
async function resumeAll(
    t: ExecutionContext,
    engines: Engines,
    broken: readonly StreamPart[],
): Promise<{ readonly complete: number; readonly joined: number; readonly resumed: number; }> {
    const resumable = broken.filter(({ events, isWhole }) => events.length > 0 && !isWhole);
    const streams = await Promise.all(resumable.map(async (first, i) => {
        const last = await engines.resume((i + 1) % INSTANCES, first, first);
        t.true(last.status === 200 || last.status === 503, `status ${last.status}`);
        return [...first.events, ...last.events];
    }));
    return {
        complete: streams.filter(events => events.length === EVENTS).length,
        joined: streams.filter(events => new Set(events.map(([, version]) => version)).size > 1).length,
        resumed: resumable.length,
    };
}

/** Starts an engine of version A, the last one, beside one of version B, and breaks streams that it has begun. */
async function startBroken(
    t: ExecutionContext,
    instances = INSTANCES,
): Promise<{ readonly engines: Engines; readonly broken: readonly StreamPart[]; }> {
    const fleet = await createRouterFleet(t, { instances });
    const engines = await VersionedEngines.create(fleet, { a0: "A", b0: "B" });
    engines.getBreak = () => EVENTS / 3;
    const broken = (await startAll(engines, instances)).filter(({ events }) => events[0]?.[1] === "A");
    engines.getBreak = () => undefined;
    t.true(broken.length >= 3, `${broken.length} streams began at A`);
    return { engines, broken };
}

// A target was believed to run the version that the list showed, after its process had started again with another one.
for (const namesStart of [true, false]) {
    const kind = namesStart ? "names its start" : "does not name its start";
    test.serial(`restarted targets: joins no stream at a target that ${kind} before it has registered`, async t => {
        const { engines, broken } = await startBroken(t);
        engines.startAgain("a0", "B", namesStart);
        await new Promise(resolve => setTimeout(resolve, RETRY_MS));
        const { joined, resumed } = await resumeAll(t, engines, broken);
        t.is(joined, 0, `of ${resumed}`);
    });
}

// The question for the start must not keep streams from a sound target whose connections broke.
test.serial("restarted targets: goes on with streams at a target that has not started again", async t => {
    const { engines, broken } = await startBroken(t);
    const { complete, joined, resumed } = await resumeAll(t, engines, broken);
    t.is(joined, 0);
    t.is(complete, resumed);
});

// Streams that begin at another version than the list shows would be recorded with the wrong one.
test.serial("restarted targets: begins no stream at a target that has started again after its connections broke", async t => {
    const { engines } = await startBroken(t, 1);
    engines.remove("b0");
    engines.startAgain("a0", "B2");
    // Until then, the list shows the other target.
    await new Promise(resolve => setTimeout(resolve, LIST_MS));
    const parts = await startAll(engines, 1);
    t.deepEqual(parts.flatMap(({ events }) => events), []);
});

test.serial("restarted targets: begins no stream at a target whose restart was found when a stream was taken up", async t => {
    const fleet = await createRouterFleet(t, { instances: INSTANCES });
    const engines = await VersionedEngines.create(fleet, { a0: "A", b0: "B" });
    engines.getBreak = () => EVENTS / 3;
    const broken = (await Promise.all(Array.from({ length: STREAMS }, () => engines.start(0))))
        .filter(({ events }) => events[0]?.[1] === "A");
    engines.getBreak = () => undefined;
    engines.remove("b0");
    engines.startAgain("a0", "B2");
    await new Promise(resolve => setTimeout(resolve, LIST_MS));
    await Promise.all(broken.map(first => engines.resume(1, first, first)));
    const part = await engines.start(1);
    t.true(broken.length > 0);
    t.deepEqual(part.events, []);
});
