import type { LeaseTimings } from "./leaseTimings.js";
import type { LenderEvent } from "./lenderEvent.js";
import type { LenderState } from "./lenderState.js";
import type { LoanReply } from "./loanReply.js";

/**
 * Applies an event to the state of a lender for one pool; `now` is a monotonic time in milliseconds.
 *
 * A slot is lent only after it has been assigned to this lender for a lease term plus margin without interruption. By
 * then any loan of the slot by its previous lender, or by this one before a restart, has ended. Slots that stay
 * assigned through a change of the instance list are lent without a pause.
 */
export function applyLenderEvent(
    state: LenderState,
    event: LenderEvent,
    now: number,
    timings: LeaseTimings,
): { readonly state: LenderState; readonly reply: LoanReply | undefined; } {
    switch (event.type) {
        case "assign":
            return { state: applyAssignment(state, event, now, timings), reply: undefined };
        case "release":
            return {
                state: state.loan?.owner === event.owner ? { ...state, loan: undefined } : state,
                reply: { reason: "released", slots: {}, deadline: now },
            };
        case "borrow":
            return lendSlots(state, event.owner, event.limits, now, timings);
    }
}

function applyAssignment(
    state: LenderState,
    event: Extract<LenderEvent, { type: "assign"; }>,
    now: number,
    timings: LeaseTimings,
): LenderState {
    const current = state.assignments.at(-1);
    if (current?.index === event.index && current.count === event.count) {
        return state;
    }
    const horizon = now - timings.termMs - timings.marginMs;
    // Drops assignments that ended before the horizon, because loans made under them have ended too.
    const kept = state.assignments.filter((_, index) =>
        (state.assignments[index + 1]?.from ?? Number.POSITIVE_INFINITY) > horizon
    );
    return {
        ...state,
        assignments: [...kept, { index: event.index, count: event.count, from: event.from }],
    };
}

function lendSlots(
    state: LenderState,
    owner: string,
    limits: Readonly<Record<string, number>>,
    now: number,
    timings: LeaseTimings,
): { readonly state: LenderState; readonly reply: LoanReply; } {
    const current = state.assignments.at(-1);
    if (!current?.count) {
        return { state, reply: refuseLoan("not-lender", now) };
    }
    if (state.loan && state.loan.owner !== owner && now < state.loan.deadline + timings.marginMs) {
        return { state, reply: refuseLoan("lent-to-other", now) };
    }
    const waitMs = timings.termMs + timings.marginMs;
    const relevant = state.assignments.filter((_, index) =>
        (state.assignments[index + 1]?.from ?? Number.POSITIVE_INFINITY) > now - waitMs
    );
    const first = relevant[0];
    if (!first || first.from > now - waitMs) {
        return { state, reply: refuseLoan("starting", now) };
    }
    const slots = Object.fromEntries(
        Object.entries(limits)
            .map(([target, limit]) => [target, countSlots(relevant, limit)] as const)
            .filter(([, count]) => count > 0),
    );
    if (Object.keys(slots).length === 0) {
        return { state, reply: refuseLoan(relevant.length > 1 ? "list-changed" : "not-lender", now) };
    }
    const deadline = now + timings.termMs;
    return { state: { ...state, loan: { owner, deadline } }, reply: { reason: "granted", slots, deadline } };
}

function countSlots(assignments: LenderState["assignments"], limit: number): number {
    let count = 0;
    for (let slot = 0; slot < limit; slot += 1) {
        if (assignments.every(item => item.count > 0 && slot % item.count === item.index)) {
            count += 1;
        }
    }
    return count;
}

function refuseLoan(reason: LoanReply["reason"], now: number): LoanReply {
    return { reason, slots: {}, deadline: now };
}
