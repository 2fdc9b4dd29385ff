import test from "ava";
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { TargetProber } from "../../src/router/targetProber.js";
import { waitUntil } from "../../src/testing/waitUntil.js";
import { makeTargetDescriptor } from "../testing/scheduler/makeTargetDescriptor.js";

// Without a probe, the crash of a target was known only when the next request of the same instance reached it.
test("finds out that a target refuses connections, and opens only three to one that does not", async t => {
    const refused: string[] = [];
    const prober = TargetProber.create(id => refused.push(id));
    t.teardown(() => prober.close());
    let connections = 0;
    const server = createServer(() => connections += 1);
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const target = makeTargetDescriptor("running", { address });
    prober.check(target);
    prober.check(target);
    await waitUntil("all probes are over", () => connections === 3);
    server.close();
    await once(server, "close");
    t.deepEqual(refused, []);
    prober.check(makeTargetDescriptor("crashed", { address }));
    await waitUntil("the crash is found", () => refused.length > 0);
    t.deepEqual(refused, ["crashed"]);
});
