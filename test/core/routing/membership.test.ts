import test from "ava";
import { listCallerAddresses } from "../../../src/core/routing/listCallerAddresses.js";
import type { MemberRecord } from "../../../src/core/routing/memberRecord.js";
import { Membership } from "../../../src/core/routing/membership.js";

function makeMember(name: string, fields: Partial<MemberRecord> = {}): MemberRecord {
    return {
        name,
        dataCentre: "a",
        region: "r",
        ip: "127.0.0.1",
        callerAddress: `${name}:1`,
        incarnation: 1,
        sequence: 1,
        state: "open",
        weight: 1,
        ...fields,
    };
}

function createMembership(): Membership {
    return Membership.create({ getInactivityLimitMs: () => 1000, retentionMs: 5000 });
}

test("does not revive a member that went down with a report that arrives out of order", t => {
    const membership = createMembership();
    membership.adopt(makeMember("x", { sequence: 5 }), 0);
    t.is(membership.adopt(makeMember("x", { sequence: 4 }), 1500), "stale");
    t.deepEqual(membership.listLive(1500), []);
});

test("adopts a report of a restarted member though its sequence starts again", t => {
    const membership = createMembership();
    membership.adopt(makeMember("x", { sequence: 500 }), 0);
    t.is(membership.adopt(makeMember("x", { incarnation: 2, sequence: 1 }), 100), "new");
});

test("counts an unreachable member for divided limits until its memory time expires", t => {
    const membership = createMembership();
    membership.adopt(makeMember("x"), 0);
    t.is(membership.listKnown(4000).length, 1);
    t.is(membership.listKnown(6000).length, 0);
});

test("lists instances of the caller's data centre, else of its region, and limited instances last", t => {
    const near = makeMember("near");
    const region = makeMember("region", { dataCentre: "b" });
    const far = makeMember("far", { dataCentre: "c", region: "s" });
    const locality = { dataCentre: "a", region: "r" };
    t.deepEqual(listCallerAddresses([far, region, near], locality), ["near:1"]);
    t.deepEqual(listCallerAddresses([far, region, { ...near, state: "closed" }], locality), ["region:1"]);
    t.deepEqual(listCallerAddresses([region, { ...near, state: "busy" }], locality), ["region:1"]);
    t.deepEqual(listCallerAddresses([far, { ...near, state: "limited" }], locality), ["far:1"]);
    t.deepEqual(listCallerAddresses([{ ...near, state: "limited" }], locality), ["near:1"]);
});

test("prefers busy instances of the caller's region to open ones of another", t => {
    const busy = makeMember("busy", { dataCentre: "b", state: "busy" });
    const far = makeMember("far", { dataCentre: "c", region: "s" });
    t.deepEqual(listCallerAddresses([far, busy], { dataCentre: "a", region: "r" }), ["busy:1"]);
});

test("lists busy instances too when most of a data centre is busy, so that the open ones are not overloaded", t => {
    const members = Array.from(
        { length: 8 },
        (_, i) => makeMember(`m${i}`, { state: i === 0 ? "open" : "busy" }),
    );
    const far = makeMember("far", { dataCentre: "c", region: "s" });
    const addresses = listCallerAddresses([...members, far], { dataCentre: "a", region: "r" });
    t.is(addresses.length, 8);
    t.false(addresses.includes("far:1"));
});

// An instance that forgets the others while it is cut off takes limits that are divided among all for its own.
test("forgets members that are down, but none while most of them cannot be heard", t => {
    const membership = createMembership();
    ["b", "c", "d"].forEach(name => membership.adopt(makeMember(name), 0));
    t.is(membership.listKnown(100_000).length, 3);
    membership.adopt(makeMember("b", { sequence: 2 }), 100_000);
    membership.adopt(makeMember("c", { sequence: 2 }), 100_000);
    t.deepEqual(membership.listKnown(100_000).map(({ name }) => name), ["b", "c"]);
});
