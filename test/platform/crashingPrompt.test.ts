import test, { registerCompletionHandler } from "ava";
import { buildCallerHeaders } from "../../src/testing/platform/buildCallerHeaders.js";
import type { CooperativeFleet } from "../../src/testing/platform/cooperativeFleet.js";
import { sendCaller } from "../../src/testing/sendCaller.js";
import { waitUntil } from "../../src/testing/waitUntil.js";
import { CrashingTargets } from "../testing/platform/crashingTargets.js";
import { createRouterFleet } from "../testing/router/createRouterFleet.js";
import { sendToFleet } from "../testing/router/sendToFleet.js";

// Half-open connections left by a fault would keep the test process alive.
registerCompletionHandler(() => process.exit());

/** `contactMs`: after the third crash, instances have this long to stop the requests that cause them. */
const CONTACT_MS = 4000;
/** Requests that may still reach targets after that. */
const MAX_LATE_CRASHES = 3;
const CRASHES = 3;
const INTERVAL_MS = 500;
/** Rounds of one crashing and one sound request each, until the third crash and after the contact time. */
const MAX_ROUNDS = 50;
const LATE_ROUNDS = 8;
const RESTART_MS = 1500;

/** Creates engines that crash on prompts in which a part other than the last is `bad`. */
function createCrashingEngines(fleet: CooperativeFleet, count: number): Promise<CrashingTargets> {
    return CrashingTargets.create(fleet, {
        service: "engine",
        count,
        restartMs: RESTART_MS,
        isCrashedBy: ({ headers }) =>
            String(headers["prompt-prefix"]).split(",").slice(0, -1).some(part => part.startsWith("bad:")),
    });
}

// Requests with a prompt part on which targets crash were sent to one target after another, by all instances.
test.serial("crashing prompt part: stops its requests at all instances after three targets have crashed, and serves those that share its other parts", async t => {
    const fleet = await createRouterFleet(t, { instances: 7, engines: 0 });
    const engines = await createCrashingEngines(fleet, 10);
    t.teardown(() => engines.close());
    let sent = 0;
    const send = (parts: readonly string[], route = "stream"): ReturnType<typeof sendCaller> => {
        sent += 1;
        const instance = fleet.instances[sent % fleet.instances.length];
        const requestId = `crash-${sent}`;
        const prompt = [...parts, requestId].map(part => `${part}:50`).join();
        return sendCaller(`${instance ? fleet.getUrls(instance).callers : ""}/${route}/x`, {
            method: "POST",
            headers: {
                ...buildCallerHeaders({
                    requestId,
                    patienceMs: 4000,
                    engine: { key: fleet.key, sharedPart: "base" },
                }),
                "Prompt-Prefix": prompt,
            },
        });
    };
    // Requests that are not retried show only one crash to their instance, so that it needs the reports of the others.
    const sendCrashing = (): ReturnType<typeof sendCaller> => send(["base", `other-${sent}`, "bad"], "once");
    await waitUntil("engines are known", async () => (await send(["base"])).status === 200);
    const pause = (): Promise<void> => new Promise(resolve => setTimeout(resolve, INTERVAL_MS));
    const runRound = async (): Promise<{ readonly isServed: boolean; readonly isRefused: boolean; }> => {
        const [crashing, sound] = await Promise.all([sendCrashing(), send(["base"]), pause()]);
        return { isServed: sound.isWhole, isRefused: crashing.status === 503 };
    };
    for (let round = 0; round < MAX_ROUNDS && engines.crashes.length < CRASHES; round += 1) {
        await runRound();
    }
    const from = performance.now() + CONTACT_MS;
    while (performance.now() < from) {
        await runRound();
    }
    const crashedBefore = engines.crashes.length;
    const results = [];
    for (let round = 0; round < LATE_ROUNDS; round += 1) {
        results.push(await runRound());
    }
    const late = engines.crashes.length - crashedBefore;
    t.true(crashedBefore >= CRASHES, `${crashedBefore} targets crashed`);
    t.true(late <= MAX_LATE_CRASHES, `${late} targets crashed later`);
    t.true(results.filter(({ isServed }) => isServed).length >= LATE_ROUNDS / 2, "sound requests are served");
    t.true(results.filter(({ isRefused }) => isRefused).length >= LATE_ROUNDS - MAX_LATE_CRASHES, "refused");
});

// Each retry of a request with a prompt part on which targets crash ended one more target.
test.serial("crashing prompt part: does not retry a request whose part has crashed two targets", async t => {
    const fleet = await createRouterFleet(t, { instances: 1, engines: 0 });
    const engines = await createCrashingEngines(fleet, 6);
    t.teardown(() => engines.close());
    const isSettled = (): Promise<boolean> =>
        Promise.resolve(engines.runningCount === 6 && fleet.store.isFollowed);
    const crashing = { "Prompt-Prefix": "bad:50,own:50" };
    await waitUntil("engines are known", async () => (await sendToFleet(fleet, "/stream/x")).status === 200);
    for (const crashes of [1, 2]) {
        t.is((await sendToFleet(fleet, "/once/x", crashing)).status, 502);
        t.is(engines.crashes.length, crashes);
        await waitUntil("the crashed engine is replaced", isSettled);
    }
    t.is((await sendToFleet(fleet, "/stream/x", crashing)).status, 502);
    t.is(engines.crashes.length, 3);
    t.is((await sendToFleet(fleet, "/stream/x")).status, 200);
});
