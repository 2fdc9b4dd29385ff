/** How the platform misbehaves; an empty object ends all faults. */
export interface PlatformFault {
    /** Resets every call and watch. */
    readonly down?: boolean;
    /** This part of the answers shows the revision before the newest. @default 0 */
    readonly staleShare?: number;
    /** Every call, waiting watches too, gets the revision that many steps before the newest. @default 0 */
    readonly goBack?: number;
}
