import test, { registerCompletionHandler } from "ava";
import { buildCallerHeaders } from "../../src/testing/platform/buildCallerHeaders.js";
import { sendCaller } from "../../src/testing/sendCaller.js";
import { waitUntil } from "../../src/testing/waitUntil.js";
import { CrashingEngines } from "../testing/platform/crashingEngines.js";
import { createRouterFleet } from "../testing/router/createRouterFleet.js";

// Half-open connections left by a fault would keep the test process alive.
registerCompletionHandler(() => process.exit());

/** `contactMs`: after the fifth crash, instances have this long to stop the requests that cause them. */
const CONTACT_MS = 4000;
/** Requests that may still reach targets after that. */
const MAX_LATE_CRASHES = 3;
const CRASHES = 5;
const INTERVAL_MS = 400;

// Requests with a prompt part on which targets crash were sent to one target after another, by all instances.
test.serial("crashing prompt part: stops its requests at all instances after five targets have crashed, and serves those that share its other parts", async t => {
    const fleet = await createRouterFleet(t, { instances: 6, engines: 0 });
    const engines = await CrashingEngines.create(fleet, "bad", 10);
    t.teardown(() => engines.close());
    let sent = 0;
    const send = (parts: readonly string[]): ReturnType<typeof sendCaller> => {
        sent += 1;
        const instance = fleet.instances[sent % fleet.instances.length];
        const requestId = `crash-${sent}`;
        const prompt = [...parts, requestId].map(part => `${part}:50`).join();
        return sendCaller(`${instance ? fleet.getUrls(instance).callers : ""}/stream/x`, {
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
    await waitUntil("engines are known", async () => (await send(["base"])).status === 200);
    const pause = (): Promise<void> => new Promise(resolve => setTimeout(resolve, INTERVAL_MS));
    let rounds = 0;
    while (rounds < 50 && engines.crashes.length < CRASHES) {
        await Promise.all([send(["base", `other-${rounds}`, "bad"]), send(["base"]), pause()]);
        rounds += 1;
    }
    const from = performance.now() + CONTACT_MS;
    let [served, refused] = [0, 0];
    while (performance.now() < from + CONTACT_MS) {
        const [crashing, sound] = await Promise.all([
            send(["base", `other-${rounds}`, "bad"]),
            send(["base"]),
            pause(),
        ]);
        rounds += 1;
        if (performance.now() >= from) {
            served += sound.isWhole ? 1 : 0;
            refused += crashing.status === 503 ? 1 : 0;
        }
    }
    const late = engines.crashes.slice(CRASHES).filter(at => at >= from).length;
    t.true(late <= MAX_LATE_CRASHES, `${late} targets crashed later`);
    t.true(served >= 5, `${served} sound requests served`);
    t.true(refused >= 5, `${refused} refused`);
});
