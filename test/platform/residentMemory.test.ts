import test, { registerCompletionHandler } from "ava";
import type { CooperativeFleet } from "../../src/testing/platform/cooperativeFleet.js";
import { waitUntil } from "../../src/testing/waitUntil.js";
import { buildPaddedConfiguration } from "../testing/memory/buildPaddedConfiguration.js";
import { CallerCrowd } from "../testing/memory/callerCrowd.js";
import { checkMemory } from "../testing/memory/checkMemory.js";
import { createLimitedRouter } from "../testing/memory/createLimitedRouter.js";
import { startTargets } from "../testing/memory/startTargets.js";
import type { RawTarget } from "../testing/router/rawTarget.js";
import { sendToFleet } from "../testing/router/sendToFleet.js";
import { writeHead } from "../testing/router/writeHead.js";

type Serve = Parameters<typeof RawTarget.create>[3];

// Half-open connections left by a fault would keep the test process alive.
registerCompletionHandler(() => process.exit());

const LIMITS_MB = [200, 178];
const ENGINES = 18;
const PLAIN_TARGETS = 6;
const PATIENCE_MS = 4000;
const UNREAD_MS = 2000;
const ROUNDS = 12;
const ROUND_MS = 1000;
/** Longest prompt of a deployment, and a common one. */
const LONG_PROMPT_BYTES = 72_000;
const PROMPT_BYTES = 60_000;

const answer = Buffer.alloc(250_000, "y");

const serveSilence: Serve = () => undefined;

const serveLargeAnswer: Serve = ({ socket, requestId }) => {
    writeHead(socket, requestId, `Response-Signature: s\r\nContent-Length: ${answer.length}\r\n`);
    socket.write(answer);
};

async function waitUntilServed(fleet: CooperativeFleet): Promise<void> {
    await waitUntil(
        "requests are served again",
        async () => (await sendToFleet(fleet, "/known/x")).status === 200,
    );
}

function listTargets(fleet: CooperativeFleet, count: number, sequence: number): void {
    for (let i = 0; i < count; i += 1) {
        fleet.store.write(`servers/other-${i}`, {
            service: "other",
            address: `127.0.0.2:${10_000 + i}`,
            zone: "a",
            slots: 16,
            state: "ready",
            coldRemainingMs: 0,
            version: "v1",
            sequence,
            born: 1,
        });
    }
}

for (const limitMb of LIMITS_MB) {
    // Guards against bodies that are held, and parts of them that are not collected yet, beyond the limit of the memory.
    test.serial(`${limitMb} MB: answers 2,500 streams at once while the engines are silent`, async t => {
        const fleet = await createLimitedRouter(t, limitMb);
        await startTargets(t, fleet, "engine", ENGINES, serveSilence);
        const crowd = await CallerCrowd.create(fleet, 2500);
        await crowd.send({ path: "/stream/x", bodyBytes: PROMPT_BYTES, patienceMs: PATIENCE_MS });
        await waitUntil("all callers have an answer", () => crowd.waiting === 0);
        t.log(crowd.countStatuses());
        t.is(crowd.countStatuses()["0"], undefined);
        crowd.close();
        checkMemory(t, fleet, limitMb);
        await waitUntilServed(fleet);
    });

    // Guards against responses that pile up, since a request ends when its response is handed to a connection.
    test.serial(`${limitMb} MB: takes no further requests while callers leave their responses unread`, async t => {
        const fleet = await createLimitedRouter(t, limitMb);
        await startTargets(t, fleet, "plain", PLAIN_TARGETS, serveLargeAnswer);
        const crowd = await CallerCrowd.createUnreading(fleet, 1500);
        await crowd.send({
            path: "/unsafe/x",
            bodyBytes: 10,
            waveCallers: 20,
            waveMs: 20,
            patienceMs: PATIENCE_MS,
        });
        await new Promise(resolve => setTimeout(resolve, UNREAD_MS));
        checkMemory(t, fleet, limitMb);
        crowd.resumeReading();
        await waitUntil("all callers have an answer", () => crowd.waiting === 0);
        t.log(crowd.countStatuses());
        t.is(crowd.countStatuses()["0"], undefined);
        crowd.close();
        await waitUntilServed(fleet);
        checkMemory(t, fleet, limitMb);
    });
}

// Guards against parts of the memory that fit one by one, but not together.
test.serial("178 MB: holds long prompts, stalled bodies, unread responses, a log that nobody reads, a changing configuration of 1 MB and long lists of targets together", async t => {
    const [, limitMb = 0] = LIMITS_MB;
    const fleet = await createLimitedRouter(t, limitMb, { isOutputRead: false });
    await startTargets(t, fleet, "engine", ENGINES, serveSilence);
    await startTargets(t, fleet, "plain", PLAIN_TARGETS, serveLargeAnswer);
    const [prompts, stalled, unread] = await Promise.all([
        CallerCrowd.create(fleet, 700),
        CallerCrowd.create(fleet, 500),
        CallerCrowd.createUnreading(fleet, 300),
    ]);
    await unread.send({ path: "/unsafe/x", bodyBytes: 10, patienceMs: PATIENCE_MS });
    await stalled.send({
        path: "/stream/x",
        bodyBytes: PROMPT_BYTES,
        sentBytes: PROMPT_BYTES - 1000,
        patienceMs: PATIENCE_MS,
    });
    for (let round = 1; round <= ROUNDS; round += 1) {
        if (round % 6 === 1) {
            await prompts.send({
                path: "/stream/x",
                bodyBytes: LONG_PROMPT_BYTES,
                patienceMs: PATIENCE_MS,
            });
            listTargets(fleet, 800, round);
        }
        fleet.store.write("op/config", buildPaddedConfiguration(2000 + round, 1_000_000));
        await new Promise(resolve => setTimeout(resolve, ROUND_MS));
        checkMemory(t, fleet, limitMb);
    }
    unread.resumeReading();
    for (const crowd of [prompts, stalled, unread]) {
        await waitUntil("all callers have an answer", () => crowd.waiting === 0);
        t.log(crowd.countStatuses());
        t.is(crowd.countStatuses()["0"], undefined);
        crowd.close();
    }
    await waitUntilServed(fleet);
    checkMemory(t, fleet, limitMb);
});
