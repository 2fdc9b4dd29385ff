/** Settings that the engine and the plain service stand-ins share. */
export interface TargetSettings {
    readonly name: string;
    /** Requests that the warm target bears at once. */
    readonly slotLimit: number;
    /** Requests that the cold target bears at once. */
    readonly coldLimit: number;
    readonly startsCold: boolean;
    /** Completed requests after which a cold target bears one more. */
    readonly warmRequestsPerSlot: number;
    /** Time in milliseconds after which a cold target bears one more. */
    readonly warmMsPerSlot: number;
    /** Age of the values in a load report in milliseconds. */
    readonly loadLagMs: number;
    /** True refuses an order whose fencing number is lower than the highest seen. */
    readonly checksFencing: boolean;
    /** Overload that lasts longer than this many milliseconds makes the target fall over. */
    readonly overloadGraceMs: number;
    /** The target falls over at once when running and refused requests exceed this multiple of `slotLimit`. */
    readonly overloadFactor: number;
    /** Time in milliseconds during which a fallen target refuses connections. */
    readonly downMs: number;
    /** Cost of one plain call in tokens; engines count their tokens instead. */
    readonly requestCost: number;
}
