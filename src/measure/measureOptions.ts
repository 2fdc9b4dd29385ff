/** Options that all benchmark scenarios take. */
export interface MeasureOptions {
    readonly seed: number;
    /** Duration of the load, or of each phase if the scenario has phases; `undefined` for the scenario's default. */
    readonly durationSeconds: number | undefined;
    readonly policy: "fleet" | "local" | "fifo";
    readonly instances: number;
    readonly accounts: number;
    readonly trials: number;
    /** Use shorter windows and smaller fleets, if the scenario supports it. */
    readonly quick: boolean;
    /** Directory for daemon logs; `undefined` for no logs. */
    readonly logDirectory: string | undefined;
    /** Writes a line of progress to the terminal. */
    readonly logProgress: (text: string) => void;
}
