import test, { registerCompletionHandler } from "ava";
import { createSlowFleet } from "../testing/router/createSlowFleet.js";
import { KeptCaller } from "../testing/router/keptCaller.js";

// Half-open connections left by a fault would keep the test process alive.
registerCompletionHandler(() => process.exit());

const KINDS = ["unsafe", "once", "stream"] as const;
const STOP_SECONDS = 8;
const INTERVAL_MS = 250;
const LAST_SENT_MS = 7400;
/** A request sent by then ends before the end of the stop timeout, whatever it takes of its route's timeout. */
const SURE_MS = 3000;

// What a late request may take was guessed from its tokens: requests that take 3 s and more were passed on in the last
// seconds of the stop timeout and cut at its end, also those that may not be repeated.
test.serial.failing("planned stop: passes on no late request that may last beyond the stop timeout, and answers all", async t => {
    const { fleet, targets } = await createSlowFleet(t, {
        stopTimeoutSeconds: STOP_SECONDS,
        timeoutMs: 4000,
        plainMs: 3000,
        streamMs: 3500,
    });
    const count = LAST_SENT_MS / INTERVAL_MS;
    const callers: KeptCaller[] = [];
    for (let i = 0; i < count * KINDS.length; i += 1) {
        callers.push(await KeptCaller.create(fleet, "/safe/x"));
    }
    t.teardown(() => callers.forEach(caller => caller.close()));
    const [instance] = fleet.instances;
    const stopped = instance?.process.stop("SIGTERM");
    const startedAt = performance.now();
    const sent: Promise<object>[] = [];
    for (let i = 1; i <= count; i += 1) {
        await new Promise(resolve => setTimeout(resolve, startedAt + i * INTERVAL_MS - performance.now()));
        for (const kind of KINDS) {
            const requestId = `${kind}-${i}`;
            const sentMs = performance.now() - startedAt;
            const request = callers.pop()?.send(`/${kind}/x`, requestId) ?? t.fail() as never;
            sent.push(request.then(({ status, isWhole }) => {
                const isRun = targets.some(target => target.requestIds.includes(requestId));
                const outcome = isWhole ? `${status}${isRun ? " run" : ""}` : `cut ${status}`;
                return { requestId, sentMs: Math.round(sentMs), outcome };
            }));
        }
    }
    t.is(await stopped, 0);
    const results = await Promise.all(sent) as { requestId: string; sentMs: number; outcome: string; }[];
    const isSound = ({ sentMs, outcome }: typeof results[0]): boolean =>
        outcome === "200 run" || (outcome === "503" && sentMs > SURE_MS);
    t.deepEqual(results.filter(result => !isSound(result)), []);
});
