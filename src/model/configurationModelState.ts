interface ModelInstance {
    readonly phase: "asking" | "serving";
    /** Index of the bundle in force, -1 for none. */
    readonly inForce: number;
    /** Index of the bundle held while asking, -1 for none. */
    readonly held: number;
    /** Highest bundle that was in force since the start, -1 for none. */
    readonly highest: number;
    /** Highest bundle that an asked peer had, -1 for none. */
    readonly floor: number;
    /** Indexes of the peers asked since the start, in ascending order. */
    readonly asked: readonly number[];
}

/** State of the model of configuration adoption. */
export interface ConfigurationModelState {
    /** Indexes of the published bundles in ascending order. */
    readonly published: readonly number[];
    readonly instances: readonly ModelInstance[];
    /** Restarts that may still happen. */
    readonly restartsLeft: number;
}
