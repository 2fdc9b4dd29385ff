/** Fault that a target injects into its next responses. */
export interface ResponseFault {
    /**
     * - `truncate`: the connection is closed after `afterBytes` bytes of the response body.
     * - `reset`: the same with a TCP reset.
     * - `delay`: the target waits for `delayMs` before it serves the request.
     * - `duplicate`: each event of a stream is sent twice; an unstreamed response is followed by a copy of itself.
     * - `cross`: the target responds to the previous request instead, with the id of that request.
     */
    readonly kind: "truncate" | "reset" | "delay" | "duplicate" | "cross";
    /** Number of responses that get the fault. @default 1 */
    readonly count?: number;
    /** @default 0 */
    readonly afterBytes?: number;
    /** Milliseconds. @default 0 */
    readonly delayMs?: number;
}
