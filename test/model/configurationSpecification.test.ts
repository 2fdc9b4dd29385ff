import test from "ava";
import type { AdoptionState } from "../../src/core/configuration/adoptionState.js";
import { applyAdoptionEvent } from "../../src/core/configuration/applyAdoptionEvent.js";
import { buildConfigurationSpecification } from "../../src/model/buildConfigurationSpecification.js";
import { checkSpecification } from "../../src/model/checkSpecification.js";
import type { configurationSpecification } from "../../src/model/configurationSpecification.js";

/** Returns the first three words of each violated invariant. */
function listBroken(specification: typeof configurationSpecification): readonly string[] {
    return checkSpecification(specification).violations
        .map(violation => violation.invariant.split(" ").slice(0, 3).join(" "));
}

test("never reverts a configuration and lets the fleet converge in any order of events", t => {
    t.deepEqual(listBroken(buildConfigurationSpecification(applyAdoptionEvent, 1)), []);
});

test("detects a reducer that adopts any bundle of the same revision", t => {
    const broken = buildConfigurationSpecification(
        (state, event) =>
            event.type === "offered" && event.check.bundle && state.phase === "serving"
                && event.check.version.revision === state.inForce?.revision
                ? { state: { ...state, inForce: event.check.bundle }, effects: [] }
                : applyAdoptionEvent(state, event),
        1,
    );
    t.true(listBroken(broken).includes("an accepted configuration"));
});

test("detects a reducer that keeps the first bundle of a revision", t => {
    const broken = buildConfigurationSpecification(
        (state, event) =>
            event.type === "offered" && event.check.version.revision === state.inForce?.revision
                ? { state, effects: [] }
                : applyAdoptionEvent(state, event),
        1,
    );
    t.deepEqual(listBroken(broken), ["the fleet converges"]);
});

test("detects a reducer that lets a later bundle of the platform replace a newer one of a peer after a restart", t => {
    const broken = buildConfigurationSpecification((state, event) => {
        const forgetful: AdoptionState = state.phase === "asking"
            ? { ...state, candidate: undefined }
            : state;
        return applyAdoptionEvent(event.type === "offered" ? forgetful : state, event);
    }, 1);
    t.true(listBroken(broken).includes("after a restart"));
});
