import type { SuspicionEffect } from "./suspicionEffect.js";
import type { SuspicionEvent } from "./suspicionEvent.js";
import type { SuspicionState } from "./suspicionState.js";

interface SuspicionResult {
    readonly state: SuspicionState;
    readonly effects: readonly SuspicionEffect[];
}

/** One lost call or a short pause of the process must not move roles to other instances. */
const MIN_FAILURES = 3;
const MIN_FAILURE_SPAN_MS = 1500;
const MIN_PROBE_INTERVAL_MS = 500;
const MAX_PROBE_INTERVAL_MS = 8000;
/** Doublings from the shortest to the longest probe interval. */
const MAX_DOUBLINGS = 4;

/**
 * Suspects an instance after three consecutive failed calls over at least 1.5 s; any success clears it.
 *
 * @param now Monotonic time in milliseconds.
 */
export function applySuspicionEvent(
    state: SuspicionState,
    event: SuspicionEvent,
    now: number,
): SuspicionResult {
    switch (event.type) {
        case "listed":
            return removeInstances(state, name => !event.instances.has(name));
        case "probed":
            return { state: scheduleProbe(state, event.instance, now), effects: [] };
        case "result":
            return event.reached
                ? removeInstances(state, name => name === event.instance)
                : countFailure(state, event.instance, now);
    }
}

function removeInstances(state: SuspicionState, matches: (name: string) => boolean): SuspicionResult {
    const removed = Object.keys(state).filter(matches);
    if (removed.length === 0) {
        return { state, effects: [] };
    }
    return {
        state: Object.fromEntries(Object.entries(state).filter(([name]) => !matches(name))),
        effects: removed.filter(name => state[name]?.suspected)
            .map(instance => ({ type: "cleared", instance })),
    };
}

function countFailure(state: SuspicionState, instance: string, now: number): SuspicionResult {
    const known = state[instance] ?? {
        failures: 0,
        firstFailureAt: now,
        nextProbeAt: now + MIN_PROBE_INTERVAL_MS,
        suspected: false,
    };
    const failures = known.failures + 1;
    const suspected = known.suspected
        || (failures >= MIN_FAILURES && now - known.firstFailureAt >= MIN_FAILURE_SPAN_MS);
    return {
        state: { ...state, [instance]: { ...known, failures, suspected } },
        effects: suspected && !known.suspected ? [{ type: "suspected", instance }] : [],
    };
}

function scheduleProbe(state: SuspicionState, instance: string, now: number): SuspicionState {
    const known = state[instance];
    if (!known) {
        return state;
    }
    const doublings = known.suspected
        ? Math.min(MAX_DOUBLINGS, Math.max(0, known.failures - MIN_FAILURES))
        : 0;
    const interval = Math.min(MAX_PROBE_INTERVAL_MS, MIN_PROBE_INTERVAL_MS * 2 ** doublings);
    return { ...state, [instance]: { ...known, nextProbeAt: now + interval } };
}
