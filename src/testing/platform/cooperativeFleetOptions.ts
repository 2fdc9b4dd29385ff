/** Size and times of a fleet of router processes with stand-ins. */
export interface CooperativeFleetOptions {
    readonly instances: number;
    readonly engines: number;
    readonly plainTargets: number;
    /** Time in milliseconds for which keys are accepted without a new confirmation. */
    readonly revocationMs: number;
    readonly stopTimeoutSeconds: number;
    /** Software versions of the first targets, in turn; without them, all have one version, which no event names. */
    readonly versions?: readonly string[];
    /** Number of responses of each target of which the last has neither a length nor chunks. @default all have one */
    readonly unframedEvery?: number;
    /** Returns the identifier of the event of a stream with a number from 1 on. @default the number itself */
    readonly getEventId?: (event: number) => number;
}
