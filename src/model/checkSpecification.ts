import { fromTransition } from "xstate";
import { getAdjacencyMap } from "xstate/graph";
import type { CheckResult } from "./checkResult.js";
import type { Specification } from "./specification.js";

interface Vertex<S> {
    readonly key: string;
    readonly state: S;
}

/** Enumerates all reachable states and checks every invariant; states that violate one are not expanded. */
export function checkSpecification<S extends object, E extends { readonly type: string; }>(
    specification: Specification<S, E>,
): CheckResult {
    // Shares one object per state; otherwise the adjacency map would keep a copy for each transition.
    const vertices = new Map<string, Vertex<S>>();
    const getVertex = (state: S): Vertex<S> => {
        const text = JSON.stringify(state);
        const known = vertices.get(text);
        if (known) {
            return known;
        }
        const vertex = { key: String(vertices.size), state };
        vertices.set(text, vertex);
        return vertex;
    };
    const isSafe = (state: S): boolean =>
        specification.invariants.every(invariant => invariant.isHeld(state));
    const initial = getVertex(specification.initial);
    const logic = fromTransition(
        (vertex: Vertex<S>, event: E) => getVertex(specification.apply(vertex.state, event)),
        initial,
    );
    const map = getAdjacencyMap(logic, {
        events: snapshot =>
            isSafe(snapshot.context.state) ? specification.listEvents(snapshot.context.state) : [],
        serializeState: snapshot => snapshot.context.key,
        serializeEvent: event => JSON.stringify(event),
    });
    const parents = new Map<string, { readonly key: string; readonly event: string; } | undefined>([
        [initial.key, undefined],
    ]);
    const adjacency = new Map(Object.entries(map));
    const violations = new Map<string, readonly string[]>();
    let transitions = 0;
    // Keys added to `parents` are visited later in the same loop, which makes it a breadth-first search.
    for (const key of parents.keys()) {
        const vertex = adjacency.get(key);
        if (!vertex) {
            continue;
        }
        for (const invariant of specification.invariants) {
            if (!violations.has(invariant.name) && !invariant.isHeld(vertex.state.context.state)) {
                violations.set(invariant.name, listEvents(key, parents));
            }
        }
        for (
            const [event, next] of Object.entries<{ readonly state: typeof vertex.state; }>(
                vertex.transitions,
            )
        ) {
            transitions += 1;
            if (!parents.has(next.state.context.key)) {
                parents.set(next.state.context.key, { key, event });
            }
        }
    }
    return {
        states: adjacency.size,
        transitions,
        violations: [...violations].map(([invariant, events]) => ({ invariant, events })),
    };
}

function listEvents(
    last: string,
    parents: ReadonlyMap<string, { readonly key: string; readonly event: string; } | undefined>,
): readonly string[] {
    const events: string[] = [];
    for (let step = parents.get(last); step; step = parents.get(step.key)) {
        events.unshift(step.event);
    }
    return events;
}
