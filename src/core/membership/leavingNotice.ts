/** Announcement of an instance that it is leaving. */
export interface LeavingNotice {
    readonly instance: string;
    /** UUID version 7 of the incarnation that is ending; empty if it is not known. */
    readonly incarnation: string;
    /** Peer address of the instance in the list at the time of the notice; empty if it was not listed. */
    readonly peerAddress: string;
    /** Monotonic time in milliseconds at which the notice expires. */
    readonly deadline: number;
}
