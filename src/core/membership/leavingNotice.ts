/** What an instance said when it announced that it is leaving. */
export interface LeavingNotice {
    readonly instance: string;
    /** UUID version 7 of the start that is ending; empty if it is not known. */
    readonly incarnation: string;
    /** Peer address that the instance had in the list at that moment; empty if it was not listed. */
    readonly peerAddress: string;
    /** Monotonic time in milliseconds after which the notice no longer counts. */
    readonly deadline: number;
}
