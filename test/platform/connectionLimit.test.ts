import test, { registerCompletionHandler } from "ava";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { computeConnectionLimits } from "../../src/core/routing/computeConnectionLimits.js";
import { buildCallerHeaders } from "../../src/testing/platform/buildCallerHeaders.js";
import { waitUntil } from "../../src/testing/waitUntil.js";
import { createRouterFleet } from "../testing/router/createRouterFleet.js";
import { sendBurst } from "../testing/sendBurst.js";

// Half-open connections left by a fault would keep the test process alive.
registerCompletionHandler(() => process.exit());

const MAX_DESCRIPTORS = 400;
const LIMITS = computeConnectionLimits({ memoryBytes: Infinity, maxDescriptors: MAX_DESCRIPTORS });
const CALLERS = { callers: LIMITS.surplus / 2, groupSize: 10, groupIntervalMs: 10, bodyBytes: 60_000 };
const PATIENCE_MS = 20_000;

function buildHeaders(index: number): Record<string, string> {
    return buildCallerHeaders({ requestId: `surplus-${index}`, patienceMs: PATIENCE_MS });
}

// A process without free descriptors resets what it accepts, and a refusal that leaves sent bytes unread is lost in a reset.
test.serial("connection limit: requests on surplus connections are refused with a status, and served once others close", async t => {
    const events: string[] = [];
    const fleet = await createRouterFleet(t, {
        maxDescriptors: MAX_DESCRIPTORS,
        onLogLine: (_host, line) => events.push(line),
    });
    const [instance] = fleet.instances;
    const { host, hostname, port } = new URL(instance ? fleet.getUrls(instance).callers : "");
    const idle: Socket[] = [];
    t.teardown(() => idle.forEach(socket => socket.destroy()));
    while (idle.length < LIMITS.served) {
        const socket = connect(Number(port), hostname);
        await once(socket, "connect");
        idle.push(socket);
    }
    const answers = await sendBurst(host, { ...CALLERS, path: "/unsafe/x", buildHeaders });
    t.deepEqual(
        answers.filter(({ status, head, error }) =>
            status !== 503 || error !== undefined
            || !/\r\nrequest-id: surplus-\d+\r\nretry-after: [\d.]+\r\n/.test(head)
        ),
        [],
    );
    t.false(
        fleet.targets.some(({ target }) =>
            target.arrivals.some(({ requestId }) => requestId.startsWith("surplus"))
        ),
    );
    idle.splice(0).forEach(socket => socket.destroy());
    await waitUntil(
        "requests are served again",
        async () => {
            const [answer] = await sendBurst(host, {
                ...CALLERS,
                callers: 1,
                path: "/unsafe/y",
                buildHeaders,
            });
            return answer?.status === 200;
        },
    );
    await waitUntil(
        "both changes are logged",
        () => events.filter(line => line.includes('"connection-limit-changed"')).length === 2,
    );
});
