import test from "ava";
import { applyRelease } from "../../../src/core/dispatch/applyRelease.js";
import { applySelection } from "../../../src/core/dispatch/applySelection.js";
import { computeStaticQuotas } from "../../../src/core/dispatch/computeStaticQuotas.js";
import { createDispatchState } from "../../../src/core/dispatch/createDispatchState.js";
import type { DispatchState } from "../../../src/core/dispatch/dispatchState.js";
import { enqueueRequest } from "../../../src/core/dispatch/enqueueRequest.js";
import { expireRequests } from "../../../src/core/dispatch/expireRequests.js";
import { fifoPolicy } from "../../../src/core/dispatch/fifoPolicy.js";
import { fleetPolicy } from "../../../src/core/dispatch/fleetPolicy.js";
import { listPoolDemands } from "../../../src/core/dispatch/listPoolDemands.js";
import { localPolicy } from "../../../src/core/dispatch/localPolicy.js";
import { releaseSlots } from "../../../src/core/dispatch/releaseSlots.js";
import { selectNextRequest } from "../../../src/core/dispatch/selectNextRequest.js";
import { addLease } from "../../testing/addLease.js";
import { addRequest } from "../../testing/addRequest.js";
import { makeDispatchInputs } from "../../testing/makeDispatchInputs.js";
import { makeTicket } from "../../testing/makeTicket.js";

function countSlots(state: DispatchState, dataCentre = "near"): number {
    return state.pools.get(`desk@${dataCentre}`)?.leases.get(`engine-${dataCentre}`)?.slots ?? 0;
}

test("starts the account with the lowest service first, counting the estimated cost of its requests in flight", t => {
    const inputs = makeDispatchInputs({ normalizedServices: { "account-0": 100, "account-1": 50 } });
    let state = addLease(createDispatchState(), "near", 3);
    for (const account of ["account-0", "account-1", "account-1"]) {
        state = addRequest(state, account, inputs);
    }
    const order: string[] = [];
    for (let selection = selectNextRequest(state, "desk", fleetPolicy, inputs); selection;) {
        order.push(selection.queue.queue.account);
        state = applySelection(state, selection, inputs);
        selection = selectNextRequest(state, "desk", fleetPolicy, inputs);
    }
    t.deepEqual(order, ["account-1", "account-0", "account-1"]);
});

test("sends no work and no demand to a target or data centre that is out of service", t => {
    for (const outOfService of ["near", "engine-near"]) {
        const inputs = makeDispatchInputs({ outOfService });
        const state = addRequest(addLease(createDispatchState(), "near", 2), "account-0", inputs);
        t.is(selectNextRequest(state, "desk", fleetPolicy, inputs), undefined);
        t.is(countSlots(releaseSlots(state, fleetPolicy, inputs)), 0);
        t.deepEqual(
            [...listPoolDemands(releaseSlots(state, fleetPolicy, inputs), fleetPolicy, inputs).keys()],
            [
                "desk@side",
            ],
        );
    }
});

test("refuses a flood at once when its own queue is full, and still accepts other accounts", t => {
    const inputs = makeDispatchInputs({ queueLimit: 5 });
    let state = createDispatchState();
    for (let index = 0; index < 20; index += 1) {
        state = addRequest(state, "account-0", inputs);
    }
    const flooded = enqueueRequest(
        state,
        { id: 0, ticket: makeTicket("account-0"), enqueuedAt: 0 },
        inputs.index,
    );
    t.is(flooded.refusal?.reason, "queue-full");
    t.true((flooded.refusal?.retryAfterSeconds ?? 0) >= 1);
    const other = enqueueRequest(
        state,
        { id: 0, ticket: makeTicket("account-1"), enqueuedAt: 0 },
        inputs.index,
    );
    t.is(other.refusal, undefined);
    t.is(state.queues.get("account-0/desk")?.requests.length, 5);
});

test("refuses a request at once when its expected wait exceeds its deadline", t => {
    let inputs = makeDispatchInputs();
    let state = addLease(createDispatchState(), "near", 1);
    for (let index = 0; index < 20; index += 1) {
        state = addRequest(state, "account-0", inputs);
    }
    for (let second = 1; second <= 5; second += 1) {
        inputs = { ...inputs, now: second * 1000 };
        state = addLease(state, "near", 1, {
            sequence: second + 1,
            leases: new Map([["engine-near", { slots: 1, fencingNumber: 9, deadline: inputs.now + 2000 }]]),
        });
        const selection = selectNextRequest(state, "desk", fleetPolicy, inputs);
        t.truthy(selection);
        state = selection ? applySelection(state, selection, inputs) : state;
        state = applyRelease(state, selection?.queue.head.id ?? 0, {
            cost: 10,
            ending: "completed",
            targetState: undefined,
        });
    }
    const enqueueWith = (deadline: number): ReturnType<typeof enqueueRequest> =>
        enqueueRequest(
            state,
            { id: 0, ticket: makeTicket("account-0", { deadline }), enqueuedAt: 5000 },
            inputs.index,
        );
    t.is(enqueueWith(12_000).refusal?.reason, "deadline-unreachable");
    t.is(enqueueWith(40_000).refusal, undefined);
    t.is(expireRequests(state, 60_000).expired.length, 15);
});

test("does not refuse for an unreachable deadline after only two grants or while slots are free", t => {
    const enqueueAfterGrants = (
        recentGrants: number,
        freeSlots: number,
    ): ReturnType<typeof enqueueRequest> => {
        const inputs = makeDispatchInputs();
        let state = addLease(createDispatchState(), "near", 1, { freeSlots });
        for (let index = 0; index < 30; index += 1) {
            state = addRequest(state, "account-0", inputs);
        }
        const queues = new Map(
            [...state.queues].map(([key, queue]) =>
                [key, { ...queue, recentGrants, recentBackloggedMs: 4000 }] as const
            ),
        );
        return enqueueRequest(
            { ...state, queues },
            { id: 0, ticket: makeTicket("account-0", { deadline: 5000 }), enqueuedAt: 0 },
            inputs.index,
        );
    };
    t.is(enqueueAfterGrants(2, 0).refusal, undefined);
    t.is(enqueueAfterGrants(8, 100).refusal, undefined);
    t.is(enqueueAfterGrants(8, 0).refusal?.reason, "deadline-unreachable");
});

test("requests slots of the local region after 100 ms and of remote regions after 1 s without a grant", t => {
    const listDemandedPools = (now: number, highest?: number): readonly string[] => {
        const inputs = makeDispatchInputs(highest === undefined ? {} : { highestBacklogged: highest });
        const state = addRequest(createDispatchState(), "account-0", inputs);
        return [...listPoolDemands(state, fleetPolicy, { ...inputs, now }).keys()];
    };
    t.deepEqual(listDemandedPools(99), ["desk@near"]);
    t.deepEqual(listDemandedPools(100), ["desk@near", "desk@side"]);
    t.deepEqual(listDemandedPools(1000), ["desk@near", "desk@side", "desk@far"]);
    t.deepEqual(listDemandedPools(0, 10_001), ["desk@near", "desk@side", "desk@far"]);
});

test("requests slots of a remote region only if it has free slots while nearer pools grant", t => {
    const inputs = makeDispatchInputs();
    let state = addRequest(addLease(createDispatchState(), "near", 1), "account-0", inputs);
    state = addRequest(state, "account-0", inputs);
    const granted = selectNextRequest(state, "desk", fleetPolicy, { ...inputs, now: 500 });
    state = granted ? applySelection(state, granted, { ...inputs, now: 500 }) : state;
    const later = { ...inputs, now: 1100 };
    t.deepEqual(listPoolDemands(state, fleetPolicy, later).get("desk@far")?.demands, []);
    state = addLease(state, "far", 0, { freeSlots: 2 });
    t.is(listPoolDemands(state, fleetPolicy, later).get("desk@far")?.demands.length, 1);
});

test("starts a retry first and excludes the failed targets unless no other target is left", t => {
    const inputs = makeDispatchInputs();
    let state = addRequest(
        addLease(addLease(createDispatchState(), "near", 2), "side", 2),
        "account-0",
        inputs,
    );
    state = addRequest(state, "account-0", inputs, { excludedTargets: ["engine-near"] });
    t.is(
        selectNextRequest(state, "desk", fleetPolicy, { ...inputs, now: 100 })?.target.target.name,
        "engine-side",
    );
    const all = ["engine-near", "engine-side", "engine-far"];
    state = addRequest(createDispatchState(), "account-0", inputs, { excludedTargets: all });
    t.is(
        selectNextRequest(addLease(state, "near", 1), "desk", fleetPolicy, inputs)?.target.target.name,
        "engine-near",
    );
});

test("orders requests by the baseline policies within static quotas without leases", t => {
    const inputs = makeDispatchInputs({ normalizedServices: { "account-0": 100, "account-1": 50 } });
    let state = addRequest(createDispatchState(), "account-0", inputs);
    state = addRequest(state, "account-1", { ...inputs, now: 5 });
    t.is(selectNextRequest(state, "desk", fleetPolicy, inputs), undefined);
    t.is(selectNextRequest(state, "desk", localPolicy, inputs)?.queue.queue.account, "account-1");
    t.is(selectNextRequest(state, "desk", fifoPolicy, inputs)?.queue.queue.account, "account-0");
});

test("splits the slot limit into static quotas of all instances without a remainder", t => {
    const { targets } = makeDispatchInputs().index.configuration;
    for (const size of [1, 3, 7, 20]) {
        const instances = Array.from({ length: size }, (_, index) => ({
            name: `instance-${index}`,
            dataCentre: "near",
            callerAddress: "",
            peerAddress: "",
            operatorAddress: "",
            state: "live" as const,
        }));
        const parts = instances.map(({ name }) =>
            computeStaticQuotas(targets, instances, name).get("engine-near")
        );
        t.is(parts.reduce<number>((sum, part) => sum + (part ?? 0), 0), 5);
    }
});
