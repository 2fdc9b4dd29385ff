import { fromTransition } from "xstate";
import { getAdjacencyMap } from "xstate/graph";
import type { ModelSpecification } from "../../src/model/modelSpecification.js";

interface Enumeration {
    readonly states: number;
    /** Names of the invariants that some state breaks. */
    readonly violated: readonly string[];
}

/** Enumerates all states of a specification with xstate/graph and checks its invariants. */
export function findViolations<State extends object, Event extends { readonly type: string; }>(
    specification: ModelSpecification<State, Event>,
    limit: number,
): Enumeration {
    const logic = fromTransition(
        (state: State, event: Event) => specification.transition(state, event),
        specification.initialState,
    );
    const isBroken = (state: State): boolean => specification.invariants.some(({ holds }) => !holds(state));
    const map = getAdjacencyMap(logic, {
        events: snapshot => isBroken(snapshot.context) ? [] : [...specification.events(snapshot.context)],
        serializeState: snapshot => JSON.stringify(snapshot.context) as never,
        serializeEvent: event => JSON.stringify(event) as never,
        limit,
    });
    const violated = new Set<string>();
    for (const { state } of Object.values(map)) {
        specification.invariants.filter(({ holds }) => !holds(state.context))
            .forEach(({ name }) => violated.add(name));
    }
    return { states: Object.keys(map).length, violated: [...violated] };
}
