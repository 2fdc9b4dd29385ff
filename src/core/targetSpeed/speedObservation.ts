/** Speed of a target at one time. */
export interface SpeedObservation {
    /** Natural logarithm of the ratio of measured to expected time. */
    readonly logRatio: number;
    /** Monotonic time in milliseconds. */
    readonly observedAt: number;
}
