/** A fault of the next answers of a target. */
export interface AnswerFault {
    /**
     * - `truncate`: the connection ends after `afterBytes` bytes of the answer's body.
     * - `reset`: the same with a TCP reset.
     * - `delay`: the answer starts `delayMs` late.
     * - `duplicate`: each event of a stream is sent twice; a whole answer is followed by a copy of itself.
     * - `cross`: the answer, with its request id, is that of another request.
     */
    readonly kind: "truncate" | "reset" | "delay" | "duplicate" | "cross";
    /** Number of answers to spoil. @default 1 */
    readonly count?: number;
    /** @default 0 */
    readonly afterBytes?: number;
    /** Milliseconds. @default 0 */
    readonly delayMs?: number;
}
