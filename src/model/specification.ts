/** A property that every reachable state must have. */
interface Invariant<S> {
    readonly name: string;
    readonly isHeld: (state: S) => boolean;
}

/** A transition system that is small enough for all reachable states to be checked. */
export interface Specification<S extends object, E extends { readonly type: string; }> {
    readonly name: string;
    /** Limits of what the model covers, one line each. */
    readonly bounds: readonly string[];
    readonly initial: S;
    /** Returns the events enabled in a state. */
    readonly listEvents: (state: S) => readonly E[];
    /**
     * Returns the next state. States and events are JSON-serialisable; equal states must have equal
     * JSON texts, which includes the order of keys.
     */
    readonly apply: (state: S, event: E) => S;
    readonly invariants: readonly Invariant<S>[];
}
