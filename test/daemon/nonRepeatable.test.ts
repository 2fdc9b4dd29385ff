import test from "ava";
import { request } from "undici";
import { v7 as createUuid } from "uuid";
import { createTafOptions } from "../../src/testing/createTafOptions.js";
import { Fleet } from "../../src/testing/fleet.js";
import { getAccountKey } from "../../src/testing/getAccountKey.js";
import { waitUntil } from "../../src/testing/waitUntil.js";

interface PaymentResponse {
    readonly status: number;
    readonly code: string | undefined;
    readonly outcome: string | undefined;
}

async function sendPayment(entry: string, key: string): Promise<PaymentResponse> {
    const response = await request(`http://${entry}/services/order-book/payments`, {
        method: "POST",
        headers: { "authorization": `Bearer ${getAccountKey("capel")}`, "idempotency-key": key },
        body: "payment",
    });
    const body = await response.body.json() as Partial<PaymentResponse>;
    return { status: response.statusCode, code: body.code, outcome: body.outcome };
}

test("runs a payment once when its key is sent to all entries at the same time", async t => {
    const fleet = await Fleet.create(createTafOptions({
        accounts: { capel: 1 },
        instances: 4,
        engines: 1,
        plainServers: 1,
        plainSlots: 100,
    }));
    t.teardown(() => fleet.close());
    const { entries } = fleet;
    // Holders do not vouch for keys created within the clock margin of their start, so the first keys are refused.
    let key = "";
    await waitUntil("a payment runs", async () => {
        key = createUuid();
        return (await sendPayment(entries[0] ?? "", key)).status === 200;
    });
    const repeatResponses = await Promise.all(entries.map(entry => sendPayment(entry, key)));
    t.deepEqual(repeatResponses.map(({ status }) => status), [409, 409, 409, 409]);
    t.true(repeatResponses.every(({ outcome }) => outcome !== "not-run"));
    const contestedKey = createUuid();
    const raceResponses = await Promise.all(entries.map(entry => sendPayment(entry, contestedKey)));
    const arrivals = await fleet.targets.readArrivals("order-0");
    t.is(arrivals.filter(arrival => arrival.idempotencyKey === key).length, 1);
    const winners = raceResponses.filter(({ status }) => status === 200).length;
    t.is(arrivals.filter(arrival => arrival.idempotencyKey === contestedKey).length, winners);
    t.true(winners <= 1);
});
