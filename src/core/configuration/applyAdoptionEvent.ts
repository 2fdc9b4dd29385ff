import type { AcceptedBundle } from "./acceptedBundle.js";
import type { AdoptionEvent } from "./adoptionEvent.js";
import type { AdoptionResult } from "./adoptionResult.js";
import type { AdoptionState } from "./adoptionState.js";
import { compareVersions } from "./compareVersions.js";
import type { ConfigurationRejection } from "./configurationRejection.js";
import { diffConfiguration } from "./diffConfiguration.js";

/** A daemon that is further behind than this many adoptions fetches the whole bundle. */
const MAX_DELTAS = 32;
/** Bounds status and log lines: a configuration of a wrong shape may have thousands of faults. */
const MAX_RECORDED_FAULTS = 100;

/**
 * Decides which configuration is in force. Only a higher bundle (revision, then digest) replaces the one in
 * force, so all daemons converge on the highest bundle whatever the order of arrival.
 */
export function applyAdoptionEvent(state: AdoptionState, event: AdoptionEvent): AdoptionResult {
    if (event.type === "peers-asked") {
        return finishAsking(state);
    }
    const { bundle, faults, version } = event.check;
    if (!bundle) {
        return recordRejection(state, {
            ...version,
            source: event.source,
            faults: faults.slice(0, MAX_RECORDED_FAULTS),
        });
    }
    const highest = state.phase === "asking" ? state.candidate : state.inForce;
    if (highest && compareVersions(bundle, highest) <= 0) {
        return { state, effects: [{ type: "ignored", reason: "not-higher" }] };
    }
    return state.phase === "asking"
        ? { state: { ...state, candidate: bundle }, effects: [] }
        : adoptBundle(state, bundle);
}

function finishAsking(state: AdoptionState): AdoptionResult {
    const serving: AdoptionState = { ...state, phase: "serving", candidate: undefined };
    return state.candidate ? adoptBundle(serving, state.candidate) : { state: serving, effects: [] };
}

function adoptBundle(state: AdoptionState, bundle: AcceptedBundle): AdoptionResult {
    const previous = state.inForce;
    const deltas = previous
        ? [...state.deltas, {
            base: { revision: previous.revision, digest: previous.digest },
            changes: diffConfiguration(previous.configuration, bundle.configuration),
        }].slice(-MAX_DELTAS)
        : [];
    return { state: { ...state, inForce: bundle, deltas }, effects: [{ type: "adopted", bundle }] };
}

function recordRejection(state: AdoptionState, rejection: ConfigurationRejection): AdoptionResult {
    return isSameRejection(state.lastRejection, rejection)
        ? { state, effects: [{ type: "ignored", reason: "rejected-before" }] }
        : { state: { ...state, lastRejection: rejection }, effects: [{ type: "rejected", rejection }] };
}

function isSameRejection(
    last: ConfigurationRejection | undefined,
    rejection: ConfigurationRejection,
): boolean {
    return last?.revision === rejection.revision && last.digest === rejection.digest
        && last.faults.join("\n") === rejection.faults.join("\n");
}
