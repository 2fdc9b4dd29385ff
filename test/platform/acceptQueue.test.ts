import test, { type ExecutionContext, registerCompletionHandler } from "ava";
import { buildCallerHeaders } from "../../src/testing/platform/buildCallerHeaders.js";
import type { CooperativeFleet } from "../../src/testing/platform/cooperativeFleet.js";
import { waitUntil } from "../../src/testing/waitUntil.js";
import { createRouterFleet } from "../testing/router/createRouterFleet.js";
import { sendToFleet } from "../testing/router/sendToFleet.js";
import { sendBurst } from "../testing/sendBurst.js";

// Half-open connections left by a fault would keep the test process alive.
registerCompletionHandler(() => process.exit());

type Kind = "unsafe" | "stream";

const KINDS: readonly Kind[] = ["unsafe", "stream"];
const ROUNDS = 3;
const PATIENCE_MS = 20_000;
const BURST = { callers: 600, groupSize: 100, groupIntervalMs: 30, bodyBytes: 60_000 };
const PAUSE_MS = 1500;

/** Sends a burst on new connections, and counts the callers that got each outcome. */
async function countOutcomes(
    t: ExecutionContext,
    fleet: CooperativeFleet,
    kind: Kind,
    options: { readonly giveUpMs?: number; } = {},
): Promise<Record<string, number>> {
    const engine = { key: fleet.key, sharedPart: "shared" };
    const [instance] = fleet.instances;
    const answers = await sendBurst(instance ? new URL(fleet.getUrls(instance).callers).host : "", {
        ...BURST,
        ...options,
        path: `/${kind}/x`,
        buildHeaders: index =>
            buildCallerHeaders({
                requestId: `burst-${index}`,
                patienceMs: PATIENCE_MS,
                ...(kind === "stream" ? { engine } : {}),
            }),
    });
    const counts: Record<string, number> = {};
    for (const { status, head, error } of answers) {
        const isTold = status !== 503 || /\r\nretry-after: [\d.]+/.test(head);
        const outcome = error ?? `${status}${isTold ? "" : " without Retry-After"}`;
        counts[outcome] = (counts[outcome] ?? 0) + 1;
    }
    t.log(`${kind}: ${JSON.stringify(counts)}`);
    return counts;
}

// The kernel acknowledges connections that do not fit into the accept queue, and resets them once the request was sent.
for (const kind of KINDS) {
    test.serial(`accept queue: each caller of a burst of ${kind} requests on new connections gets a status`, async t => {
        const fleet = await createRouterFleet(t);
        for (let round = 0; round < ROUNDS; round += 1) {
            const { 200: served = 0, 503: refused = 0 } = await countOutcomes(t, fleet, kind);
            t.is(served + refused, BURST.callers);
        }
    });

    test.serial(`accept queue: each caller of a burst of ${kind} requests at a suspended process gets a status`, async t => {
        const fleet = await createRouterFleet(t);
        const [instance] = fleet.instances;
        const resume = instance ? fleet.pauseInstance(instance) : t.fail() as never;
        setTimeout(resume, PAUSE_MS);
        const { 200: served = 0, 503: refused = 0 } = await countOutcomes(t, fleet, kind);
        t.is(served + refused, BURST.callers);
    });
}

// A long accept queue keeps requests whose callers have given up by the time that they are read.
test.serial("accept queue: requests of callers that gave up in the queue reach no target", async t => {
    const fleet = await createRouterFleet(t);
    const [instance] = fleet.instances;
    const resume = instance ? fleet.pauseInstance(instance) : t.fail() as never;
    const counts = await countOutcomes(t, fleet, "unsafe", { giveUpMs: PAUSE_MS / 3 });
    t.deepEqual(counts, { 0: BURST.callers });
    resume();
    await waitUntil(
        "the instance serves again",
        async () => (await sendToFleet(fleet, "/safe/x", { "Request-Id": "after" })).status === 200,
    );
    const arrived = fleet.targets.flatMap(({ target }) => target.arrivals);
    t.deepEqual(arrived.filter(({ requestId }) => requestId.startsWith("burst")), []);
});
