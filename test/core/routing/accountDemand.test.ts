import test from "ava";
import { AccountDemand } from "../../../src/core/routing/accountDemand.js";

const MINUTE_MS = 60_000;

// Accounts that were never forgotten would lower the share of the others.
test("counts the accounts that send requests, and forgets those that have left", t => {
    const demand = AccountDemand.create();
    demand.addOffered("a", 1000);
    demand.addOffered("b", 1000);
    t.is(demand.accounts, 2);
    demand.addOffered("a", MINUTE_MS);
    t.is(demand.accounts, 1);
});

test("measures what each account sends and gets", t => {
    const demand = AccountDemand.create();
    for (let now = 0; now < MINUTE_MS; now += 100) {
        demand.addOffered("a", now);
        if (now % 1000 === 0) {
            demand.addAdmitted("a", now);
        }
    }
    const { offered, admitted } = demand.getRates("a", MINUTE_MS);
    t.true(Math.abs(offered - 10) < 1, `${offered}`);
    t.true(Math.abs(admitted - 1) < 0.5, `${admitted}`);
    t.deepEqual(demand.getRates("b", MINUTE_MS), { offered: 0, admitted: 0 });
});

// An account beyond its share over the fleet is refused wherever its requests are relayed to, which took a tenth of the processors of a
// data centre (krabbalina-grown scale-1).
test("an account counts as served by peers while they refuse at most twice as much as they serve", t => {
    const demand = AccountDemand.create();
    const addRelayed = (count: number, isRefused: boolean, now: number): void => {
        for (let i = 0; i < count; i += 1) {
            demand.addRelayed("a", isRefused, now);
        }
    };
    t.true(demand.isServedByPeers("a", 0));
    addRelayed(100, false, 0);
    addRelayed(200, true, 0);
    t.true(demand.isServedByPeers("a", 0));
    addRelayed(100, true, 0);
    t.false(demand.isServedByPeers("a", 0));
    t.true(demand.isServedByPeers("b", 0));
    t.true(demand.isServedByPeers("a", 10_000));
});
