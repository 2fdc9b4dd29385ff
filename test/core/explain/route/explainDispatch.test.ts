import test from "ava";
import { applySelection } from "../../../../src/core/dispatch/applySelection.js";
import { createDispatchState } from "../../../../src/core/dispatch/createDispatchState.js";
import type { DispatchInputs } from "../../../../src/core/dispatch/dispatchInputs.js";
import type { DispatchPolicy } from "../../../../src/core/dispatch/dispatchPolicy.js";
import type { DispatchState } from "../../../../src/core/dispatch/dispatchState.js";
import { enqueueRequest } from "../../../../src/core/dispatch/enqueueRequest.js";
import { fifoPolicy } from "../../../../src/core/dispatch/fifoPolicy.js";
import { fleetPolicy } from "../../../../src/core/dispatch/fleetPolicy.js";
import { localPolicy } from "../../../../src/core/dispatch/localPolicy.js";
import { selectNextRequest } from "../../../../src/core/dispatch/selectNextRequest.js";
import type { WaitingRequest } from "../../../../src/core/dispatch/waitingRequest.js";
import { explainDispatch } from "../../../../src/core/explain/route/explainDispatch.js";
import { createRandom } from "../../../../src/standIns/client/createRandom.js";
import { addLease } from "../../../testing/addLease.js";
import { addRequest } from "../../../testing/addRequest.js";
import { makeDispatchInputs } from "../../../testing/makeDispatchInputs.js";
import { makeTicket } from "../../../testing/makeTicket.js";

const SEED = 17_080_000;
const STATES = 1000;

interface RandomDispatch {
    readonly state: DispatchState;
    readonly request: WaitingRequest;
    readonly policy: DispatchPolicy;
    readonly inputs: DispatchInputs;
}

function buildRandomDispatch(seed: number): RandomDispatch {
    const random = createRandom(seed);
    // The first numbers of neighbouring seeds are much alike.
    Array.from({ length: 50 }, random);
    const pick = <T>(...values: readonly T[]): T => values[Math.floor(random() * values.length)] as T;
    const policy = pick(fleetPolicy, fleetPolicy, fleetPolicy, localPolicy, fifoPolicy);
    const outOfService = pick("", "", "", "", "near", "engine-near", "far");
    const queueLimit = pick(2, 50, 50);
    const normalizedServices = Object.fromEntries(
        [0, 1, 2, 3].map(n => [`account-${n}`, Math.floor(random() * 100)]),
    );
    const makeInputs = (now: number): DispatchInputs =>
        makeDispatchInputs({ now, outOfService, queueLimit, normalizedServices, highestBacklogged: 50 });
    let state = createDispatchState();
    for (const dataCentre of ["near", "side", "far"].filter(() => random() < 0.7)) {
        state = addLease(state, dataCentre, pick(0, 1, 3), {
            freeSlots: pick(0, 2),
            horizon: pick(undefined, 10, 60),
        });
    }
    let now = 0;
    for (let i = pick(0, 2, 8); i > 0; i -= 1) {
        now += random() * 400;
        state = addRequest(state, `account-${pick(0, 1, 2)}`, makeInputs(now));
        const selection = random() < 0.6 && selectNextRequest(state, "desk", policy, makeInputs(now));
        state = selection ? applySelection(state, selection, makeInputs(now)) : state;
    }
    const ticket = makeTicket(`account-${pick(0, 1, 3)}`, { deadline: now + pick(0, 60_000, 60_000) });
    return { state, request: { id: -1, ticket, enqueuedAt: now }, policy, inputs: makeInputs(now) };
}

/** Decides on a request as the daemon did before explanations shared its loop. */
function resolveRequest({ state, request, policy, inputs }: RandomDispatch): readonly unknown[] {
    const { state: queued, refusal } = enqueueRequest(state, request, inputs.index);
    if (refusal) {
        return ["refusal", refusal.reason];
    }
    let current = queued;
    for (;;) {
        const selection = selectNextRequest(current, "desk", policy, inputs);
        if (!selection) {
            return ["wait"];
        }
        if (selection.queue.head.id === request.id) {
            return ["grant", selection.target.target.name];
        }
        current = applySelection(current, selection, inputs);
    }
}

// Guards against an explanation that follows other rules than the dispatch, or that changes its state.
test(`the explanation and the dispatch agree on ${STATES} random states, seed ${SEED}`, t => {
    const reached = new Map<string, number>();
    for (let seed = SEED; seed < SEED + STATES; seed += 1) {
        const random = buildRandomDispatch(seed);
        const before = structuredClone(random.state);
        const explanation = explainDispatch(random.state, random.request, random.policy, random.inputs);
        const { outcome: { kind, target, reason }, candidates, leftOut } = explanation;
        const decided = { grant: [kind, target], wait: [kind], refusal: [kind, reason] }[kind];
        t.deepEqual(decided, resolveRequest(random), `seed ${seed}`);
        t.deepEqual(random.state, before, `seed ${seed}`);
        t.is(candidates.length + leftOut.length, 3, `seed ${seed}`);
        t.is(target, kind === "grant" ? candidates[0]?.target : undefined, `seed ${seed}`);
        [kind, String(reason), ...leftOut.map(other => other.reason)].forEach(name =>
            reached.set(name, (reached.get(name) ?? 0) + 1)
        );
    }
    t.log(Object.fromEntries(reached));
    const required = ["grant", "wait", "queue-full", "deadline-expired", "not-in-service", "no-slots-held"]
        .concat("slots-taken", "lease-expired", "beyond-horizon", "beyond-reach");
    t.deepEqual(required.filter(name => !reached.has(name)), []);
});
