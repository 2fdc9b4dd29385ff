interface ModelInstance {
    readonly phase: "asking" | "serving";
    /** Index of the bundle in force, -1 for none. */
    readonly inForce: number;
    /** Index of the bundle held while asking, -1 for none. */
    readonly held: number;
    /** Highest bundle in force since the start of the instance, -1 for none. */
    readonly highest: number;
    /** Highest bundle of the peers asked, -1 for none or once the instance serves it or a higher one. */
    readonly floor: number;
    /** Indexes of the peers asked since the start, in ascending order; cleared together with `floor`. */
    readonly asked: readonly number[];
}

/** State of the configuration adoption model. */
export interface ConfigurationModelState {
    /** Indexes of the published bundles in ascending order. */
    readonly published: readonly number[];
    readonly instances: readonly ModelInstance[];
    /** Restarts that may still happen. */
    readonly restartsLeft: number;
}
