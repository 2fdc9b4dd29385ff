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

test("no order of events reverts a configuration or splits the fleet", t => {
    t.deepEqual(listBroken(buildConfigurationSpecification(applyAdoptionEvent, 1)), []);
});

test("the check finds a reducer that adopts any bundle of the same revision", t => {
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

test("the check finds a reducer that keeps the first bundle of a revision", t => {
    const broken = buildConfigurationSpecification(
        (state, event) =>
            event.type === "offered" && event.check.version.revision === state.inForce?.revision
                ? { state, effects: [] }
                : applyAdoptionEvent(state, event),
        1,
    );
    t.deepEqual(listBroken(broken), ["the fleet converges"]);
});

test("the check finds a daemon that trusts the platform before its peers", t => {
    const broken = buildConfigurationSpecification((state, event) => {
        const forgetful: AdoptionState = state.phase === "asking"
            ? { ...state, candidate: undefined }
            : state;
        return applyAdoptionEvent(event.type === "offered" ? forgetful : state, event);
    }, 1);
    t.true(listBroken(broken).includes("after a restart"));
});
