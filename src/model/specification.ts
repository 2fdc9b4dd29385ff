/** A property that every reachable state must have. */
interface Invariant<S> {
    readonly name: string;
    readonly isHeld: (state: S) => boolean;
}

/** A small transition system whose reachable states are all checked. */
export interface Specification<S extends object, E extends { readonly type: string; }> {
    readonly name: string;
    /** What limits the model, one line each. */
    readonly bounds: readonly string[];
    readonly initial: S;
    /** Events that can happen in a state. */
    readonly listEvents: (state: S) => readonly E[];
    /**
     * Returns the next state. States and events are JSON-serialisable; equal states must have equal
     * JSON texts, which includes the order of keys.
     */
    readonly apply: (state: S, event: E) => S;
    readonly invariants: readonly Invariant<S>[];
}
