import test from "ava";
import { fromTransition } from "xstate";
import { getAdjacencyMap } from "xstate/graph";
import type { AdoptionState } from "../../src/core/configuration/adoptionState.js";
import { applyAdoptionEvent } from "../../src/core/configuration/applyAdoptionEvent.js";
import { buildConfigurationSpecification } from "../../src/model/buildConfigurationSpecification.js";
import type { configurationSpecification } from "../../src/model/configurationSpecification.js";

type ModelSpecification = typeof configurationSpecification;

function collectStates(specification: ModelSpecification): readonly ModelSpecification["initialState"][] {
    const map = getAdjacencyMap(fromTransition(specification.transition, specification.initialState), {
        events: snapshot => [...specification.events(snapshot.context)],
        serializeState: snapshot => JSON.stringify(snapshot.context),
        limit: 1_000_000,
    });
    return Object.values(map).map(entry => entry.state.context);
}

function listBroken(specification: ModelSpecification): readonly string[] {
    const states = collectStates(specification);
    return specification.invariants
        .filter(invariant => !states.every(invariant.holds))
        .map(invariant => invariant.name.split(" ").slice(0, 3).join(" "));
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
        const forgetful: AdoptionState = state.phase === "asking" ? { ...state, held: undefined } : state;
        return applyAdoptionEvent(event.type === "offered" ? forgetful : state, event);
    }, 1);
    t.true(listBroken(broken).includes("after a restart"));
});
