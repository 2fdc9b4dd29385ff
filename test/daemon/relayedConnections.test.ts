import test, { registerCompletionHandler } from "ava";
import { Fleet } from "../../src/testing/fleet.js";
import { limitProcessor } from "../../src/testing/limitProcessor.js";
import { makeConfiguration } from "../../src/testing/makeConfiguration.js";
import { measureCapacity } from "../../src/testing/measureCapacity.js";
import type { OfferedRequest } from "../../src/testing/offeredRequest.js";
import { sendLoad } from "../../src/testing/sendLoad.js";

// Half-open connections left by a fault would keep the test process alive.
registerCompletionHandler(() => process.exit());

const PROCESSOR_SHARE = 1 / 3;
const LOAD = { giveUpMs: 5000, path: "/v1/entries", buildHeaders: () => ({ Host: "h" }) };
const CAPACITY = { callers: 12, measureMs: 3000 };
const MULTIPLES = [3, 6, 12];
const OVERLOAD_MS = 4000;
const METHOD_NOT_ALLOWED = 405;
const SERVICE_UNAVAILABLE = 503;

// Callers that keep to one daemon were served what it alone could do, and its peers stayed idle (issue 57).
test("a daemon that cannot serve all connections relays some to its peers, and each caller gets a status", async t => {
    const fleet = await Fleet.create({
        configuration: makeConfiguration(),
        instances: { d0: "caerdydd-a", d1: "caerdydd-a", d2: "caerdydd-a" },
        daemon: { relayAddress: "127.0.0.1:0" },
    });
    t.teardown(() => fleet.close());
    const busy = fleet.getDaemon("d0");
    t.teardown(limitProcessor(busy, PROCESSOR_SHARE));
    const { address } = busy;
    const isServed = ({ status }: OfferedRequest): boolean => status === METHOD_NOT_ALLOWED;
    const perSecond = await measureCapacity(address, { ...LOAD, ...CAPACITY, isServed });
    // Beside other work the measured capacity may be too low, so that the first multiple is no overload.
    let relayed = 0;
    let refused = 0;
    for (const multiple of MULTIPLES) {
        if (relayed + refused > 0) {
            break;
        }
        const load = { ...LOAD, perSecond: multiple * perSecond, durationMs: OVERLOAD_MS };
        const requests = await sendLoad(address, load);
        const others = requests.filter(request => !isServed(request));
        refused = others.length;
        t.log(`${requests.length - refused} answered, ${refused} refused`);
        t.deepEqual(
            others.filter(({ status }) => status !== SERVICE_UNAVAILABLE).map(({ error }) => error),
            [],
        );
        relayed = await fleet.readMetric("d0", "baobabspread_connections_relayed_total") ?? 0;
        t.log(`${relayed} relayed`);
    }
    t.true(relayed > 0);
});
