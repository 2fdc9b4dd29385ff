import test from "ava";
import { sendCall } from "../../src/standIns/client/sendCall.js";
import { sendChat } from "../../src/standIns/client/sendChat.js";
import type { ResponseFault } from "../../src/standIns/target/responseFault.js";
import { createTafOptions } from "../../src/testing/createTafOptions.js";
import { Fleet } from "../../src/testing/fleet.js";
import { getAccountKey } from "../../src/testing/getAccountKey.js";

const LENGTH = { minTokens: 30, maxTokens: 40 };
const TARGETS = ["engine-0", "engine-1", "order-0"];
/** Every engine response is longer than 100 bytes, so that a truncation hits whichever request gets the fault. */
const FAULTS: readonly ResponseFault[] = [
    { kind: "truncate", afterBytes: 100 },
    { kind: "reset", afterBytes: 100 },
    { kind: "truncate", afterBytes: 5 },
    { kind: "duplicate" },
    { kind: "cross" },
    { kind: "delay", delayMs: 300 },
];

test("no caller gets a corrupted response as complete, and streams resume without gap or repetition", async t => {
    const fleet = await Fleet.create(createTafOptions({
        accounts: { capel: 1 },
        instances: 2,
        engines: 2,
        engineColdLimit: 8,
        plainServers: 1,
        fleet: { engine: LENGTH },
    }));
    t.teardown(() => fleet.close());
    const common = { key: getAccountKey("capel"), account: "capel" };
    const retried: string[] = [];
    for (const [round, fault] of FAULTS.entries()) {
        for (const target of TARGETS) {
            await fleet.targets.injectFault(target, fault);
        }
        const results = await Promise.all(Array.from({ length: 12 }, (_, index) => {
            const entry = fleet.entries[index % 2] ?? "";
            const marker = `[request=${round}-${index}]`;
            return index % 3 === 0
                ? sendCall({
                    ...common,
                    entry,
                    service: "order-book",
                    method: "GET",
                    path: `/orders/${encodeURIComponent(marker)}`,
                    body: "",
                })
                : sendChat({
                    ...common,
                    ...LENGTH,
                    entry,
                    model: "model-desk",
                    prompt: `Proof ${marker}`,
                    stream: index % 3 === 1,
                });
        }));
        t.deepEqual(results.filter(result => !result.correct), [], `${fault.kind} ${fault.afterBytes ?? ""}`);
        if (fault.kind === "truncate" || fault.kind === "reset") {
            const arrivals = (await Promise.all(TARGETS.map(name => fleet.targets.readArrivals(name))))
                .flat();
            const attempts = arrivals.filter(arrival => arrival.marker.startsWith(`${round}-`)).length;
            retried.push(`${attempts > results.length}`);
        }
    }
    // Otherwise no response was corrupted and the verdicts above prove nothing.
    t.deepEqual(retried, ["true", "true", "true"]);
});
