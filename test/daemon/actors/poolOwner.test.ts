import test from "ava";
import { LeaseFleet } from "./leaseFleet.js";

async function waitUntil(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await new Promise(setImmediate);
    }
}

test("guards against grants before the lenders lend and against network calls of an instance to itself", async t => {
    const fleet = LeaseFleet.create(["a", "b", "c"], 6);
    const early = await fleet.report("a", "a", 6);
    t.is(early.leases.length, 0);
    fleet.now = 2250;
    await fleet.waitForSlots("a", "a", 6, 6);
    t.true(fleet.calls.includes("a>b BorrowSlots"));
    t.false(fleet.calls.some(call => call.startsWith("a>a")));
    await fleet.close();
});

test("guards against a freed slot that is not pushed to an entry with waiting requests", async t => {
    const fleet = LeaseFleet.create(["a", "b"], 2);
    fleet.now = 2250;
    await fleet.waitForSlots("a", "a", 2, 2);
    await fleet.report("b", "a", 1);
    const pushed = fleet.members.get("b")?.pushed ?? [];
    await fleet.report("a", "a", 0, 1, 1);
    await waitUntil(() => pushed.some(state => state.leases[0]?.slots === 1));
    t.true((pushed.at(-1)?.leases[0]?.fencingNumber ?? 0) > 0);
    await fleet.close();
});

test("guards against two owners that together grant more than the limit", async t => {
    const fleet = LeaseFleet.create(["a", "b"], 4);
    fleet.now = 2250;
    await fleet.waitForSlots("a", "a", 4, 4);
    await fleet.report("b", "b", 4);
    await waitUntil(() => fleet.calls.filter(call => call === "b>a BorrowSlots").length > 2);
    const refused = await fleet.report("b", "b", 4);
    t.is(refused.leases.length, 0);
    await fleet.close();
});

test("guards against an unused pool whose slots are never given back", async t => {
    const fleet = LeaseFleet.create(["a", "b"], 4);
    fleet.now = 2250;
    await fleet.waitForSlots("a", "a", 4, 4);
    await fleet.report("a", "a", 0, 0);
    fleet.now += 101;
    await waitUntil(() => fleet.members.get("a")?.owner.listPools().length === 0);
    await fleet.waitForSlots("b", "b", 4, 4);
    t.pass();
    await fleet.close();
});
