/** What became of one request. */
export interface OfferedRequest {
    /** Status of the response; zero if the connection ended before its head. */
    readonly status: number;
    /** Status line and headers of the response in lower case. */
    readonly head: string;
    /** Whether the response names a time to return. */
    readonly hasRetryAfter: boolean;
    readonly isGivenUp: boolean;
    /** Code of the error that ended the connection; `undefined` if it ended in order. */
    readonly error: string | undefined;
    /** Time in milliseconds until the status arrived or the connection ended. */
    readonly ms: number;
}
