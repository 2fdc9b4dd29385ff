import test from "ava";
import { v7 as createUuid } from "uuid";
import type { CallerRequest } from "../../../src/core/request/callerRequest.js";
import { makeClusterView } from "../../helpers/makeClusterView.js";
import { TestFleet } from "../../helpers/testFleet.js";

const NOW_MS = 1_700_000_000_000;
const names = ["a", "b", "c", "d", "e"];

function makeRequest(idempotencyKey: string | undefined): CallerRequest {
    return {
        requestId: "request-1",
        account: { name: "capel", share: "standard", keyDigests: [], services: [] },
        service: { name: "order-book", kind: "plain", requestCost: 1, queueLimit: 1, maxBodyBytes: 1 },
        method: "POST",
        path: "/",
        headers: {},
        body: undefined,
        isStream: false,
        idempotencyKey,
        receivedAt: 0,
        deadline: 5000,
        hintedCost: undefined,
    };
}

const key = createUuid({ msecs: NOW_MS });

test("refuses a key that another entry has claimed or run", async t => {
    const fleet = TestFleet.create(names, NOW_MS);
    const ticket = await fleet.createCoordinator("a").claim(makeRequest(key));
    t.is(ticket.key, key);
    await t.throwsAsync(fleet.createCoordinator("b").claim(makeRequest(key)), {
        name: "RequestError",
        code: "key-already-claimed",
    });
    ticket.settle("run");
    const error = await t.throwsAsync(fleet.createCoordinator("c").claim(makeRequest(key)));
    t.like(error, { code: "key-already-run", outcome: "run" });
});

test("grants a released key again", async t => {
    const fleet = TestFleet.create(names, NOW_MS);
    (await fleet.createCoordinator("a").claim(makeRequest(key))).settle("released");
    t.is((await fleet.createCoordinator("b").claim(makeRequest(key))).key, key);
});

test("grants the same key to two client accounts", async t => {
    const fleet = TestFleet.create(names, NOW_MS);
    await fleet.createCoordinator("a").claim(makeRequest(key));
    const request = makeRequest(key);
    await t.notThrowsAsync(
        fleet.createCoordinator("a").claim({ ...request, account: { ...request.account, name: "other" } }),
    );
});

test("refuses a key that ran before all holders restarted and lost their claims", async t => {
    const fleet = TestFleet.create(names, NOW_MS);
    (await fleet.createCoordinator("a").claim(makeRequest(key))).settle("run");
    fleet.nowMs = NOW_MS + 5000;
    names.forEach(name => fleet.resetHolder(name));
    const error = await t.throwsAsync(fleet.createCoordinator("a").claim(makeRequest(key)));
    t.like(error, { code: "key-cannot-be-vouched-for", outcome: "unknown" });
});

test("refuses a key that ran before other instances replaced all holders", async t => {
    const all = [...names, "f", "g", "h", "i", "j"];
    const fleet = TestFleet.create(all, NOW_MS, names);
    (await fleet.createCoordinator("a").claim(makeRequest(key))).settle("run");
    fleet.nowMs = NOW_MS + 5000;
    fleet.setView(makeClusterView(["f", "g", "h", "i", "j"]));
    const error = await t.throwsAsync(fleet.createCoordinator("f").claim(makeRequest(key)));
    t.like(error, { code: "key-cannot-be-vouched-for", outcome: "unknown" });
});

test("without a quorum, reports unknown for a sent key, not-run for a fresh one, and releases the grants", async t => {
    const fleet = TestFleet.create(names, NOW_MS);
    fleet.unreachable.add("d").add("e");
    const sent = await t.throwsAsync(fleet.createCoordinator("a").claim(makeRequest(key)));
    t.like(sent, { code: "key-cannot-be-vouched-for", outcome: "unknown" });
    fleet.nowMs = Date.now();
    const fresh = await t.throwsAsync(fleet.createCoordinator("a").claim(makeRequest(undefined)));
    t.like(fresh, { code: "claim-unavailable", outcome: "not-run" });
    fleet.unreachable.clear();
    fleet.nowMs = NOW_MS;
    await t.notThrowsAsync(fleet.createCoordinator("b").claim(makeRequest(key)));
});

test("retries a claim until holders are reachable again, and then refuses a repeat of the key", async t => {
    const fleet = TestFleet.create(names, NOW_MS);
    fleet.unreachable.add("d").add("e");
    fleet.onWait = () => fleet.unreachable.clear();
    t.is((await fleet.createCoordinator("a").claim(makeRequest(key))).key, key);
    await t.throwsAsync(fleet.createCoordinator("b").claim(makeRequest(key)), {
        code: "key-already-claimed",
    });
});

test("grants a key after a change of the instance list that keeps four holders of its group", async t => {
    const fleet = TestFleet.create([...names, "f"], NOW_MS, names);
    fleet.setView(makeClusterView([...names, "f"]));
    fleet.nowMs = NOW_MS + 10;
    const laterKey = createUuid({ msecs: NOW_MS + 10 });
    t.is((await fleet.createCoordinator("a").claim(makeRequest(laterKey))).key, laterKey);
});

test("refuses a key without a time before its request runs", async t => {
    const fleet = TestFleet.create(names, NOW_MS);
    const error = await t.throwsAsync(fleet.createCoordinator("a").claim(makeRequest("order-17")));
    t.like(error, { code: "malformed-idempotency-key", outcome: "not-run" });
});

test("transfers the claims of a leaving holder to its successors", async t => {
    const fleet = TestFleet.create([...names, "f"], NOW_MS, names);
    (await fleet.createCoordinator("a").claim(makeRequest(key))).settle("run");
    fleet.setView(makeClusterView(["b", "c", "d", "e", "f"]));
    await fleet.getHolder("a").sendHandover();
    t.like(await fleet.getHolder("f").handleClaim({ key, account: "capel", attempt: "x" }), {
        verdict: "run",
    });
});

test("evicts a claim after the retention period and does not grant its key again", async t => {
    const fleet = TestFleet.create(names, NOW_MS);
    (await fleet.createCoordinator("a").claim(makeRequest(key))).settle("run");
    fleet.nowMs = NOW_MS + 86_400_000 + 60_001;
    const reply = await fleet.getHolder("a").handleClaim({ key, account: "capel", attempt: "x" });
    t.is(reply.verdict, "cannot-vouch");
});
