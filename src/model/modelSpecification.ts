/** A specification that the model check enumerates. States are read-only and JSON-serialisable. */
export interface ModelSpecification<State, Event> {
    readonly name: string;
    readonly initialState: State;
    /** Lists what can happen next. */
    readonly events: (state: State) => readonly Event[];
    readonly transition: (state: State, event: Event) => State;
    readonly invariants: readonly { readonly name: string; readonly holds: (state: State) => boolean; }[];
    /** What the enumeration leaves out. */
    readonly bounds: string;
}
