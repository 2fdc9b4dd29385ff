/** Faults of the platform; an empty object ends them all. */
export interface PlatformFault {
    /** Resets every call, including waiting watches. */
    readonly down?: boolean;
    /** Fraction of the replies that show the revision before the newest, from 0 to 1. @default 0 */
    readonly staleShare?: number;
    /** Every reply, also to waiting watches, shows the revision this many steps before the newest. @default 0 */
    readonly goBack?: number;
}
