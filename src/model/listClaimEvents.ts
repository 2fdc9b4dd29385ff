import type { ClaimBounds } from "./claimBounds.js";
import type { ClaimModelEvent } from "./claimModelEvent.js";
import type { ClaimModelState } from "./claimModelState.js";

const WRITE_ENDINGS = ["answered", "answer-lost", "not-written"] as const;

/** Lists the events enabled in a state. Equal holders are interchangeable, so one of them is enough. */
export function listClaimEvents(state: ClaimModelState, bounds: ClaimBounds): readonly ClaimModelEvent[] {
    if (!state.isStarted) {
        return bounds.viewDifferences.map(difference => ({ type: "views", difference }));
    }
    return [
        ...Object.keys(state.attempts).flatMap(attempt => listAttemptEvents(state, attempt)),
        ...listDistinctHolders(state)
            .filter(holder => state.crashes < bounds.maxCrashes && state.holders[holder]?.claim !== undefined)
            .map(holder => ({ type: "crash", holder }) as const),
    ];
}

function listAttemptEvents(state: ClaimModelState, name: string): readonly ClaimModelEvent[] {
    const attempt = state.attempts[name];
    if (!attempt) {
        return [];
    }
    const members = listDistinctHolders(state).filter(holder => state.holders[holder]?.groups.includes(name));
    const claims = members.filter(holder => !state.holders[holder]?.handled.includes(name))
        .map(holder => ({ type: "claim", attempt: name, holder }) as const);
    switch (attempt.phase) {
        case "claiming":
            return [...claims, { type: "timeout", attempt: name }];
        case "granted":
            return [
                ...claims,
                ...WRITE_ENDINGS.map(ending => ({ type: "write", attempt: name, ending }) as const),
            ];
        case "ended":
            return attempt.settlement === undefined
                ? claims
                : [...claims, ...members.map(holder => ({ type: "settle", attempt: name, holder }) as const)];
    }
}

function listDistinctHolders(state: ClaimModelState): readonly number[] {
    const texts = state.holders.map(holder => JSON.stringify(holder));
    return texts.flatMap((text, index) => texts.indexOf(text) === index ? [index] : []);
}
