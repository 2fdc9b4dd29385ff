/** Target descriptor, as the platform lists it. */
export interface TargetDescriptor {
    /** Identifier of one incarnation of the target's process. */
    readonly id: string;
    readonly service: string;
    /** host:port. */
    readonly address: string;
    readonly dataCentre: string;
    readonly slots: number;
    readonly isDraining: boolean;
    /** Monotonic time in milliseconds until which the target is cold. */
    readonly coldUntil: number;
    /** Start of the target's process in Unix milliseconds, 0 if unknown. */
    readonly startedAtMs: number;
    /** Number of the report of the target's process that this registration comes from; 0 if unknown. */
    readonly sequence: number;
    /** Version of the target's software; `undefined` if its registration names none. */
    readonly version: string | undefined;
}
