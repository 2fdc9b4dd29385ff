import test from "ava";
import { request } from "undici";
import type { Arrival } from "../../../src/standIns/target/arrival.js";
import { ChildProcess } from "../../../src/testing/childProcess.js";
import { sendControl } from "../../../src/testing/sendControl.js";

test("a plain service echoes each call and records each run with its idempotency key", async t => {
    const module = new URL("../../../src/standIns/plainService/main.js", import.meta.url);
    const service = await ChildProcess.create(module, ["{}"]);
    t.teardown(() => service.stop("SIGKILL"));
    for (const key of ["k1", "k2", "k1"]) {
        const response = await request(`http://${service.address}/orders`, {
            method: "POST",
            headers: { "idempotency-key": key },
            body: `[account=capel] ${key}`,
        });
        t.deepEqual(await response.body.json(), {
            method: "POST",
            path: "/orders",
            body: `[account=capel] ${key}`,
        });
    }
    const arrivals = await sendControl<Arrival[]>(service.address, "GET", "records");
    t.deepEqual(arrivals.map(arrival => arrival.idempotencyKey), ["k1", "k2", "k1"]);
    t.true(arrivals.every(arrival => arrival.ending === "completed" && arrival.tokens === 100));
});
