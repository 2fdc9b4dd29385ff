import test from "ava";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { fetchLoad } from "../../../src/adapters/target/fetchLoad.js";

test("returns no report when it is malformed or late, and tells a refused connection apart", async t => {
    const report = { epoch: "a", state: "cold", running: 1, bearable: 2, measuredAtMs: 3 };
    const bodies: (string | undefined)[] = [JSON.stringify(report), '{"epoch":1}', "no json", undefined];
    const server = createServer((_request, response) => {
        const body = bodies.shift();
        if (body !== undefined) {
            response.end(body);
        }
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    t.deepEqual(await fetchLoad(url, 10_000), { ...report, state: "cold" });
    t.is(await fetchLoad(url, 10_000), undefined);
    t.is(await fetchLoad(url, 10_000), undefined);
    t.is(await fetchLoad(url, 20), undefined);
    server.closeAllConnections();
    await new Promise(resolve => server.close(resolve));
    t.is(await fetchLoad(url, 10_000), "refused");
});
