interface Invariant<State> {
    readonly name: string;
    readonly holds: (state: State) => boolean;
}

/** A protocol as a transition system, for exhaustive exploration. States are JSON-serialisable. */
export interface Specification<State, Event> {
    readonly name: string;
    readonly initialState: State;
    /** Events that may happen in a state. */
    readonly events: (state: State) => readonly Event[];
    readonly transition: (state: State, event: Event) => State;
    readonly invariants: readonly Invariant<State>[];
    /** What limits the state space. */
    readonly bounds: string;
}
