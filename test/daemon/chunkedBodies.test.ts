import test, { registerCompletionHandler } from "ava";
import { request } from "undici";
import { createTafOptions } from "../../src/testing/createTafOptions.js";
import { Fleet } from "../../src/testing/fleet.js";
import { getAccountKey } from "../../src/testing/getAccountKey.js";
import { checkChunkedCrowd } from "../testing/memory/checkChunkedCrowd.js";
import { chunkForms } from "../testing/memory/chunkForms.js";

// Half-open connections left by a fault would keep the test process alive.
registerCompletionHandler(() => process.exit());

/** What a daemon has. */
const LIMIT_MB = 244;
const CALLERS = 100;
const ACCOUNT = "capel";
const PATH = "/services/order-book/orders";
/** A common order. */
const ordinaryBody = "o".repeat(20_000);

for (const form of chunkForms) {
    // Guards against bodies that take more memory than they are accounted for, and keep ordinary callers out.
    test.serial(`${CALLERS} callers with ${form.name} that stay open`, async t => {
        const fleet = await Fleet.create(createTafOptions({
            accounts: { [ACCOUNT]: 1 },
            instances: 1,
            engines: 1,
            plainServers: 1,
        }));
        t.teardown(() => fleet.close());
        const daemon = fleet.getDaemon("daemon-0");
        const authorization = `Bearer ${getAccountKey(ACCOUNT)}`;
        const buildHead = (index: number): string => {
            const key = index % 2 === 0 ? `Authorization: ${authorization}\r\n` : "";
            return `POST ${PATH} HTTP/1.1\r\nHost: h\r\n${key}Transfer-Encoding: chunked`;
        };
        await checkChunkedCrowd(t, {
            address: daemon.address,
            pid: daemon.pid,
            form,
            buildHead,
            callers: CALLERS,
            peakMb: LIMIT_MB,
            laterMb: LIMIT_MB,
            sendOrdinary: async () => {
                const response = await request(`http://${daemon.address}${PATH}`, {
                    method: "POST",
                    headers: { authorization },
                    body: ordinaryBody,
                });
                await response.body.dump();
                return response.statusCode;
            },
        });
        t.true(daemon.running, "the daemon has ended");
    });
}
