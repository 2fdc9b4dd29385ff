/** Options of every experiment. */
export interface MeasureOptions {
    readonly seed: number;
    /** Seconds of load, or of each phase where the scenario has phases; `undefined` for the scenario's own. */
    readonly durationSeconds: number | undefined;
    readonly policy: "fleet" | "local" | "fifo";
    readonly instances: number;
    readonly accounts: number;
    readonly trials: number;
    /** Shorter windows and smaller fleets, where the scenario offers them. */
    readonly quick: boolean;
    /** Directory for logs of daemons; `undefined` for no logs. */
    readonly logDirectory: string | undefined;
    /** Tells the reader of the terminal what happens. */
    readonly logProgress: (text: string) => void;
}
