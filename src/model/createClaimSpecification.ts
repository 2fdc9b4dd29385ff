import { applyClaimEvent } from "../core/claim/applyClaimEvent.js";
import { applyClaimVerdict } from "../core/claim/applyClaimVerdict.js";
import type { ClaimEvent } from "../core/claim/claimEvent.js";
import type { ClaimVerdict } from "../core/claim/claimVerdict.js";
import { describeClaimRefusal } from "../core/claim/describeClaimRefusal.js";
import type { Outcome } from "../core/errors/outcome.js";
import type { ClaimBounds } from "./claimBounds.js";
import type { ClaimModelEvent } from "./claimModelEvent.js";
import type { ClaimModelState } from "./claimModelState.js";
import type { ClaimRules } from "./claimRules.js";
import { listClaimEvents } from "./listClaimEvents.js";
import { normalizeClaimState } from "./normalizeClaimState.js";
import type { Specification } from "./specification.js";

type ModelHolder = ClaimModelState["holders"][number];
type ModelAttempt = ClaimModelState["attempts"][string];
type WriteEvent = Extract<ClaimModelEvent, { readonly type: "write"; }>;

const GROUP_SIZE = 5;
/** Members of only the second group that were in it when the key was created; further ones joined later. */
const EARLY_DIFFERENCE = 2;
/** Wall-clock times: creation of the key, restart or joining of a holder, handling of a claim call. */
const KEY_TIME_MS = 100_000;
const LATER_MS = 200_000;
const NOW_MS = 300_000;
const REPLIES: readonly string[] = Array.from({ length: GROUP_SIZE }, (_, index) => `reply-${index}`);

/** Builds the specification of a claimed request under the given rules and bounds. */
export function createClaimSpecification(
    name: string,
    rules: ClaimRules,
    bounds: ClaimBounds,
): Specification<ClaimModelState, ClaimModelEvent> {
    return {
        name,
        initial: {
            isStarted: false,
            holders: [],
            attempts: { a: createAttempt("a", rules), b: createAttempt("b", rules) },
            runs: 0,
            crashes: 0,
            hasFalseRefusal: false,
        },
        listEvents: state => listClaimEvents(state, bounds),
        apply: (state, event) => normalizeClaimState(applyEvent(state, event, rules)),
        invariants: [
            { name: "I7: a non-repeatable request runs at most once", isHeld: state => state.runs <= 1 },
            {
                name: "I6: a request reported as not-run has not run",
                isHeld: state => !state.hasFalseRefusal,
            },
        ],
        bounds: [
            "one key that the caller sends to two entries",
            `groups of 5 that differ by ${bounds.viewDifferences.join(", ")} members`,
            `at most ${bounds.maxCrashes} crashes of holders that store a claim; a crash loses it`,
            "calls and replies delayed, reordered or lost; settlements also duplicated",
            "pauses and entry crashes are covered by events that are delayed or never happen",
            "no transfer of claims between holders, no eviction, no clock error beyond the margin",
        ],
    };
}

function createAttempt(attempt: string, rules: ClaimRules): ModelAttempt {
    return {
        coordinator: {
            attempt,
            group: REPLIES,
            quorum: rules.computeQuorum(GROUP_SIZE),
            isFresh: rules.isFresh,
            verdicts: {},
            phase: "claiming",
        },
        phase: "claiming",
        settlement: undefined,
        outcome: undefined,
    };
}

function applyEvent(state: ClaimModelState, event: ClaimModelEvent, rules: ClaimRules): ClaimModelState {
    switch (event.type) {
        case "views":
            return { ...state, isStarted: true, holders: createHolders(event.difference) };
        case "claim":
            return applyClaimCall(state, event.attempt, event.holder, rules);
        case "timeout":
            return applyReply(state, event.attempt, "unreachable");
        case "write":
            return applyWrite(state, event);
        case "settle": {
            const result = state.attempts[event.attempt]?.settlement ?? "released";
            return updateHolder(state, event.holder, holder => ({
                ...holder,
                claim:
                    applyClaimEvent(holder.claim, { kind: "settle", attempt: event.attempt, result }).claim,
            }));
        }
        case "crash":
            return updateHolder(
                { ...state, crashes: state.crashes + 1 },
                event.holder,
                holder => ({ ...holder, isRestarted: true, claim: undefined }),
            );
    }
}

function createHolders(difference: number): readonly ModelHolder[] {
    return Array.from({ length: GROUP_SIZE + difference }, (_, index) => ({
        groups: [...(index < GROUP_SIZE ? ["a"] : []), ...(index >= difference ? ["b"] : [])],
        isLate: index >= GROUP_SIZE + EARLY_DIFFERENCE,
        isRestarted: false,
        handled: [],
        claim: undefined,
    }));
}

function applyClaimCall(
    state: ClaimModelState,
    name: string,
    index: number,
    rules: ClaimRules,
): ClaimModelState {
    const holder = state.holders[index];
    if (!holder) {
        return state;
    }
    const call: ClaimEvent = {
        kind: "claim",
        attempt: name,
        isHolder: true,
        isVouchable: rules.isVouchable({
            keyTimeMs: KEY_TIME_MS,
            startedAtMs: holder.isRestarted ? LATER_MS : 0,
            memberSinceMs: holder.isLate ? LATER_MS : 0,
            nowMs: NOW_MS,
        }),
    };
    const { claim, verdict } = applyClaimEvent(holder.claim, call);
    const handled = updateHolder(
        state,
        index,
        old => ({ ...old, claim, handled: [...old.handled, name].sort() }),
    );
    return verdict === undefined ? handled : applyReply(handled, name, verdict);
}

function applyReply(
    state: ClaimModelState,
    name: string,
    verdict: ClaimVerdict | "unreachable",
): ClaimModelState {
    const attempt = state.attempts[name];
    if (attempt?.phase !== "claiming") {
        return state;
    }
    const reply = REPLIES[Object.keys(attempt.coordinator.verdicts).length] ?? "";
    const coordinator = applyClaimVerdict(attempt.coordinator, reply, verdict);
    if (coordinator.phase === "claiming") {
        const verdicts = Object.fromEntries(
            Object.values(coordinator.verdicts).sort().map((value, index) => [REPLIES[index], value]),
        );
        return updateAttempt(state, name, { ...attempt, coordinator: { ...coordinator, verdicts } });
    }
    // Verdicts do not matter after the decision; dropping them makes more states equal.
    const decided = { ...attempt, coordinator: { ...coordinator, verdicts: {} } };
    return coordinator.phase === "granted"
        ? updateAttempt(state, name, { ...decided, phase: "granted" })
        : endAttempt(state, name, decided, describeClaimRefusal(coordinator).outcome, "released");
}

function applyWrite(state: ClaimModelState, event: WriteEvent): ClaimModelState {
    const attempt = state.attempts[event.attempt];
    if (!attempt) {
        return state;
    }
    const hasRun = event.ending !== "not-written";
    const after = { ...state, runs: state.runs + (hasRun ? 1 : 0) };
    const outcome = { "answered": "run", "answer-lost": "unknown", "not-written": "not-run" } as const;
    const settlement = { "answered": "run", "answer-lost": undefined, "not-written": "released" } as const;
    return endAttempt(after, event.attempt, attempt, outcome[event.ending], settlement[event.ending]);
}

function endAttempt(
    state: ClaimModelState,
    name: string,
    attempt: ModelAttempt,
    outcome: Outcome,
    settlement: ModelAttempt["settlement"],
): ClaimModelState {
    return updateAttempt(
        { ...state, hasFalseRefusal: state.hasFalseRefusal || (outcome === "not-run" && state.runs > 0) },
        name,
        { ...attempt, phase: "ended", outcome, settlement },
    );
}

function updateAttempt(state: ClaimModelState, name: string, attempt: ModelAttempt): ClaimModelState {
    return { ...state, attempts: { ...state.attempts, [name]: attempt } };
}

function updateHolder(
    state: ClaimModelState,
    index: number,
    update: (holder: ModelHolder) => ModelHolder,
): ClaimModelState {
    return { ...state, holders: state.holders.map((holder, at) => at === index ? update(holder) : holder) };
}
