import test from "ava";
import fc from "fast-check";
import { applyLeaseUpdate } from "../../../src/core/dispatch/applyLeaseUpdate.js";
import { applyRelease } from "../../../src/core/dispatch/applyRelease.js";
import { applySelection } from "../../../src/core/dispatch/applySelection.js";
import { createDispatchState } from "../../../src/core/dispatch/createDispatchState.js";
import { createPoolLeases } from "../../../src/core/dispatch/createPoolLeases.js";
import type { DispatchState } from "../../../src/core/dispatch/dispatchState.js";
import { fleetPolicy } from "../../../src/core/dispatch/fleetPolicy.js";
import { listHoldings } from "../../../src/core/dispatch/listHoldings.js";
import { listPoolDemands } from "../../../src/core/dispatch/listPoolDemands.js";
import { releaseSlots } from "../../../src/core/dispatch/releaseSlots.js";
import { selectNextRequest } from "../../../src/core/dispatch/selectNextRequest.js";
import { addLease } from "../../testing/addLease.js";
import { addRequest } from "../../testing/addRequest.js";
import { makeDispatchInputs } from "../../testing/makeDispatchInputs.js";
import { makeLeaseUpdate } from "../../testing/makeLeaseUpdate.js";

const SEED = 20261204;

function countSlots(state: DispatchState, dataCentre = "near"): number {
    return state.pools.get(`desk@${dataCentre}`)?.leases.get(`engine-${dataCentre}`)?.slots ?? 0;
}

test("starts no request after the lease deadline", t => {
    const inputs = makeDispatchInputs();
    const state = addRequest(addLease(createDispatchState(), "near", 2), "account-0", inputs);
    t.truthy(selectNextRequest(state, "desk", fleetPolicy, { ...inputs, now: 1999 }));
    t.is(selectNextRequest(state, "desk", fleetPolicy, { ...inputs, now: 2000 }), undefined);
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
    const inputs = makeDispatchInputs();
    let state = addLease(createDispatchState(), "near", 3);
    state = releaseSlots(state, fleetPolicy, inputs);
    t.is(countSlots(state), 3);
    state = releaseSlots(state, fleetPolicy, { ...inputs, now: 100 });
    t.is(countSlots(state), 0);
    state = addLease(state, "near", 3, { sequence: 2, reportSequence: 0 });
    t.is(countSlots(state), 0);
    state = addLease(state, "near", 3, { sequence: 3, reportSequence: 1 });
    t.is(countSlots(state), 3);
});

test("returns a free slot when every waiting account is above the horizon", t => {
    const inputs = makeDispatchInputs({ normalizedServices: { "account-0": 500 } });
    let state = addLease(createDispatchState(), "near", 2, { horizon: 400 });
    state = addRequest(state, "account-0", inputs);
    t.is(selectNextRequest(state, "desk", fleetPolicy, inputs), undefined);
    state = releaseSlots(state, fleetPolicy, inputs);
    t.is(countSlots(state), 0);
    t.is(listPoolDemands(state, fleetPolicy, inputs).get("desk@near")?.demands[0]?.normalizedService, 500);
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
            const inputs = makeDispatchInputs({ queueLimit: 10 });
            let state = createDispatchState();
            let sequence = 0;
            for (const { kind, account, slots } of events) {
                const [first] = state.requestsInFlight.keys();
                sequence += 1;
                state = kind === "enqueue"
                    ? addRequest(state, `account-${account}`, inputs)
                    : kind === "lease"
                    ? addLease(state, "near", slots, { sequence, reportSequence: 99 })
                    : applyRelease(state, first ?? 0, { cost: 1, ending: "failed", targetState: undefined });
                const before = state.requestsInFlight.size;
                for (let selection = selectNextRequest(state, "desk", fleetPolicy, inputs); selection;) {
                    state = applySelection(state, selection, inputs);
                    selection = selectNextRequest(state, "desk", fleetPolicy, inputs);
                }
                const held = listHoldings(state, "desk", "near").get("engine-near");
                if (state.requestsInFlight.size > before && state.requestsInFlight.size > countSlots(state)) {
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
    const inputs = makeDispatchInputs();
    let state = addRequest(addLease(createDispatchState(), "near", 1), "account-0", inputs);
    const selection = selectNextRequest(state, "desk", fleetPolicy, inputs);
    state = selection ? applySelection(state, selection, inputs) : state;
    const before = listPoolDemands(state, fleetPolicy, inputs).get("desk@near");
    const result = { cost: 0, ending: "refused", targetState: "cold" } as const;
    state = applyRelease(state, selection?.queue.head.id ?? 0, result);
    state = addRequest(addLease(state, "near", 0, { sequence: 2 }), "account-0", inputs);
    const after = listPoolDemands(state, fleetPolicy, inputs).get("desk@near");
    t.deepEqual(after?.responseCounts.get("engine-near"), { cold: 1, busy: 0 });
    t.not(after?.events, before?.events);
});
