import type { ClaimModelState } from "./claimModelState.js";

type ModelHolder = ClaimModelState["holders"][number];
type ModelAttempt = ClaimModelState["attempts"][string];

/**
 * Returns the representative of all states with the same future (symmetry reduction): drops the holders that
 * no undecided attempt has yet to ask, sorts the others, and puts the two attempts into a fixed order where
 * they are interchangeable.
 */
export function normalizeClaimState(state: ClaimModelState): ClaimModelState {
    const relevant = state.holders.filter(holder =>
        holder.groups.some(name =>
            state.attempts[name]?.phase === "claiming" && !holder.handled.includes(name)
        )
    );
    const sorted = { ...state, holders: sortHolders(relevant) };
    // A late holder is only in the group of attempt b, so the attempts are not interchangeable.
    if (relevant.some(holder => holder.isLate)) {
        return sorted;
    }
    const replaced = replaceNames(sorted);
    return JSON.stringify(replaced) < JSON.stringify(sorted) ? replaced : sorted;
}

function replaceNames(state: ClaimModelState): ClaimModelState {
    const { a, b } = state.attempts;
    return a && b
        ? {
            ...state,
            holders: sortHolders(state.holders.map(replaceHolderNames)),
            attempts: { a: replaceAttemptName(b), b: replaceAttemptName(a) },
        }
        : state;
}

function replaceName(name: string): string {
    return name === "a" ? "b" : "a";
}

function replaceHolderNames(holder: ModelHolder): ModelHolder {
    return {
        ...holder,
        groups: holder.groups.map(replaceName).sort(),
        handled: holder.handled.map(replaceName).sort(),
        claim: holder.claim ? { ...holder.claim, attempt: replaceName(holder.claim.attempt) } : undefined,
    };
}

function replaceAttemptName(attempt: ModelAttempt): ModelAttempt {
    return {
        ...attempt,
        coordinator: { ...attempt.coordinator, attempt: replaceName(attempt.coordinator.attempt) },
    };
}

function sortHolders(holders: readonly ModelHolder[]): readonly ModelHolder[] {
    return holders.map(holder => ({ holder, text: JSON.stringify(holder) }))
        .sort((x, y) => x.text < y.text ? -1 : 1)
        .map(entry => entry.holder);
}
