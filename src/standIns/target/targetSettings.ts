/** Settings that the engine and the plain service stand-ins share. */
export interface TargetSettings {
    readonly name: string;
    /** Limit of concurrent requests of a warm target. */
    readonly slotLimit: number;
    /** Limit of concurrent requests of a target that has just become cold. */
    readonly coldLimit: number;
    readonly startsCold: boolean;
    /** Number of completed requests that raises the limit of a cold target by one. */
    readonly warmRequestsPerSlot: number;
    /** Time in milliseconds that raises the limit of a cold target by one. */
    readonly warmMsPerSlot: number;
    /** Age in milliseconds of the values in a load report. */
    readonly loadLagMs: number;
    /** Whether the target refuses requests whose fencing number is lower than the highest seen. */
    readonly checksFencing: boolean;
    /** Overload that lasts longer than this many milliseconds makes the target crash. */
    readonly overloadGraceMs: number;
    /** The target crashes at once when running and refused requests exceed this multiple of `slotLimit`. */
    readonly overloadFactor: number;
    /** Time in milliseconds during which a crashed target refuses connections. */
    readonly downMs: number;
    /** Cost of one plain call in tokens; engines count their tokens instead. */
    readonly requestCost: number;
}
