import test from "ava";
import { request } from "undici";
import { v7 as createUuid } from "uuid";
import { startSmallFleet } from "../../src/testing/startSmallFleet.js";

interface Reply {
    readonly status: number;
    readonly code: string | undefined;
    readonly outcome: string | undefined;
}

async function sendPayment(entry: string, key: string): Promise<Reply> {
    const response = await request(`http://${entry}/services/order-book/payments`, {
        method: "POST",
        headers: { "authorization": "Bearer capel-key", "idempotency-key": key },
        body: "payment",
    });
    const body = await response.body.json() as Partial<Reply>;
    return { status: response.statusCode, code: body.code, outcome: body.outcome };
}

test("a payment that is repeated at every entry at once runs once", async t => {
    const { daemons, kill, plain } = await startSmallFleet({ daemons: 4, entriesTermMs: 100, engine: {} });
    t.teardown(kill);
    // Holders do not vouch for keys made within the clock margin of their start, so the first keys are refused.
    let key = "";
    let reply: Reply | undefined;
    while (reply?.status !== 200) {
        key = createUuid();
        reply = await sendPayment(daemons[0]?.address ?? "", key);
    }
    const repeats = await Promise.all(daemons.map(daemon => sendPayment(daemon.address, key)));
    t.deepEqual(repeats.map(({ status }) => status), [409, 409, 409, 409]);
    t.true(repeats.every(({ outcome }) => outcome !== "not-run"));
    const contested = createUuid();
    const race = await Promise.all(daemons.map(daemon => sendPayment(daemon.address, contested)));
    const response = await request(`http://${plain.listening["controlAddress"]}/control/records`);
    const arrivals = await response.body.json() as readonly { readonly idempotencyKey: string; }[];
    t.is(arrivals.filter(arrival => arrival.idempotencyKey === key).length, 1);
    const winners = race.filter(({ status }) => status === 200).length;
    t.is(arrivals.filter(arrival => arrival.idempotencyKey === contested).length, winners);
    t.true(winners <= 1);
});
