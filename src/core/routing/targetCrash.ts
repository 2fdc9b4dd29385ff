/** A crash of a target while it was serving a request. Times are monotonic, in milliseconds. */
export interface TargetCrash {
    readonly targetId: string;
    /** When the request was sent to the target. */
    readonly sentAt: number;
    /** When the connection to the target broke. */
    readonly endedAt: number;
}
