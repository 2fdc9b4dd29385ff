import test from "ava";
import fc from "fast-check";
import { applyChoice } from "../../../src/core/dispatch/applyChoice.js";
import { applyLeaseUpdate } from "../../../src/core/dispatch/applyLeaseUpdate.js";
import { applyRelease } from "../../../src/core/dispatch/applyRelease.js";
import { createDispatchState } from "../../../src/core/dispatch/createDispatchState.js";
import { createPoolLeases } from "../../../src/core/dispatch/createPoolLeases.js";
import type { DispatchState } from "../../../src/core/dispatch/dispatchState.js";
import { fleetPolicy } from "../../../src/core/dispatch/fleetPolicy.js";
import { listHoldings } from "../../../src/core/dispatch/listHoldings.js";
import { listPoolDemands } from "../../../src/core/dispatch/listPoolDemands.js";
import { pickNext } from "../../../src/core/dispatch/pickNext.js";
import { releaseSlots } from "../../../src/core/dispatch/releaseSlots.js";
import { addLease } from "../../testing/addLease.js";
import { addRequest } from "../../testing/addRequest.js";
import { makeFacts } from "../../testing/makeFacts.js";
import { makeLeaseUpdate } from "../../testing/makeLeaseUpdate.js";

const SEED = 20261204;

function countSlots(state: DispatchState, dataCentre = "near"): number {
    return state.pools.get(`desk@${dataCentre}`)?.leases.get(`engine-${dataCentre}`)?.slots ?? 0;
}

test("starts no request after the lease deadline", t => {
    const facts = makeFacts();
    const state = addRequest(addLease(createDispatchState(), "near", 2), "account-0", facts);
    t.truthy(pickNext(state, "desk", fleetPolicy, { ...facts, now: 1999 }));
    t.is(pickNext(state, "desk", fleetPolicy, { ...facts, now: 2000 }), undefined);
});

test("ignores lease states that are out of order, repeated or from another owner or incarnation", t => {
    fc.assert(
        fc.property(fc.shuffledSubarray([1, 2, 3, 4, 5], { minLength: 5 }), fc.nat(4), (order, repeated) => {
            let pool = createPoolLeases("desk", "near");
            for (const sequence of [...order, order[repeated] ?? 1]) {
                pool = applyLeaseUpdate(
                    pool,
                    makeLeaseUpdate("engine-near", sequence, { sequence }),
                    "owner",
                );
            }
            const foreign = makeLeaseUpdate("engine-near", 9, { owner: "other", sequence: 99 });
            const old = makeLeaseUpdate("engine-near", 9, { ownerIncarnation: "0", sequence: 99 });
            return pool.leases.get("engine-near")?.slots === 5
                && applyLeaseUpdate(pool, foreign, "owner") === pool
                && applyLeaseUpdate(pool, old, "owner") === pool;
        }),
        { seed: SEED },
    );
    t.pass();
});

test("does not restore returned slots from a lease state that predates the return", t => {
    const facts = makeFacts();
    let state = addLease(createDispatchState(), "near", 3);
    state = releaseSlots(state, fleetPolicy, facts);
    t.is(countSlots(state), 3);
    state = releaseSlots(state, fleetPolicy, { ...facts, now: 100 });
    t.is(countSlots(state), 0);
    state = addLease(state, "near", 3, { sequence: 2, reportSequence: 0 });
    t.is(countSlots(state), 0);
    state = addLease(state, "near", 3, { sequence: 3, reportSequence: 1 });
    t.is(countSlots(state), 3);
});

test("returns a free slot when every waiting account is above the horizon", t => {
    const facts = makeFacts({ services: { "account-0": 500 } });
    let state = addLease(createDispatchState(), "near", 2, { horizon: 400 });
    state = addRequest(state, "account-0", facts);
    t.is(pickNext(state, "desk", fleetPolicy, facts), undefined);
    state = releaseSlots(state, fleetPolicy, facts);
    t.is(countSlots(state), 0);
    t.is(listPoolDemands(state, fleetPolicy, facts).get("desk@near")?.demands[0]?.service, 500);
});

test("keeps the leases of a failed owner while the new owner recovers", t => {
    let pool = applyLeaseUpdate(createPoolLeases("desk", "near"), makeLeaseUpdate("engine-near", 2), "owner");
    const recovering = makeLeaseUpdate("engine-near", 0, {
        owner: "next",
        recovering: true,
        leases: new Map(),
    });
    pool = applyLeaseUpdate(pool, recovering, "next");
    t.is(pool.leases.get("engine-near")?.slots, 2);
    t.true(pool.recovering);
});

test("never starts requests beyond the lease for any order of arrivals, ends and lease updates", t => {
    const event = fc.record({
        kind: fc.constantFrom("enqueue", "end", "lease"),
        account: fc.nat(3),
        slots: fc.nat(4),
    });
    fc.assert(
        fc.property(fc.array(event, { maxLength: 80 }), events => {
            const facts = makeFacts({ queueLimit: 10 });
            let state = createDispatchState();
            let sequence = 0;
            for (const { kind, account, slots } of events) {
                const [first] = state.flights.keys();
                sequence += 1;
                state = kind === "enqueue"
                    ? addRequest(state, `account-${account}`, facts)
                    : kind === "lease"
                    ? addLease(state, "near", slots, { sequence, reportSequence: 99 })
                    : applyRelease(state, first ?? 0, { cost: 1, ending: "failed", targetState: undefined });
                const before = state.flights.size;
                for (let choice = pickNext(state, "desk", fleetPolicy, facts); choice;) {
                    state = applyChoice(state, choice, facts);
                    choice = pickNext(state, "desk", fleetPolicy, facts);
                }
                const held = listHoldings(state, "desk", "near").get("engine-near");
                if (state.flights.size > before && state.flights.size > countSlots(state)) {
                    return false;
                }
                if ((held?.inUse ?? 0) > (held?.held ?? 0)) {
                    return false;
                }
            }
            return true;
        }),
        { seed: SEED },
    );
    t.pass();
});

test("reports responses that show reduced capacity to the owner early, even after the slot is gone", t => {
    const facts = makeFacts();
    let state = addRequest(addLease(createDispatchState(), "near", 1), "account-0", facts);
    const choice = pickNext(state, "desk", fleetPolicy, facts);
    state = choice ? applyChoice(state, choice, facts) : state;
    const before = listPoolDemands(state, fleetPolicy, facts).get("desk@near");
    const result = { cost: 0, ending: "refused", targetState: "cold" } as const;
    state = applyRelease(state, choice?.queue.head.id ?? 0, result);
    state = addRequest(addLease(state, "near", 0, { sequence: 2 }), "account-0", facts);
    const after = listPoolDemands(state, fleetPolicy, facts).get("desk@near");
    t.deepEqual(after?.answers.get("engine-near"), { cold: 1, busy: 0 });
    t.not(after?.events, before?.events);
});
