/** Times of a planned stop, monotonic in milliseconds. */
export interface StopPlan {
    /** New connections are accepted until then, so that callers have time to move to other instances; later ones are refused. */
    readonly lingerUntil: number;
    /** A request that is received by then is served if it is expected to end in time; a later one must be certain to. */
    readonly estimateUntil: number;
    /** Time by which requests must have ended. */
    readonly finishBy: number;
    /** The process stops to wait for requests. */
    readonly stopBy: number;
}
