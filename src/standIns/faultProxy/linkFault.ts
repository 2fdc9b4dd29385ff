/** State of a link of the fault proxy; an absent field means no fault. */
export interface LinkFault {
    /**
     * - `cut`: open connections are reset, and new ones as soon as they are accepted.
     * - `halfOpen`: connections are accepted, but nothing is forwarded in either direction.
     */
    readonly mode?: "open" | "cut" | "halfOpen";
    /** Added one-way delay of each direction in milliseconds. @default 0 */
    readonly delayMs?: number;
    /** Bytes towards the target: `hold` keeps them until released, `drop` loses them. @default "pass" */
    readonly forward?: "pass" | "hold" | "drop";
    /** Bytes from the target. @default "pass" */
    readonly backward?: "pass" | "hold" | "drop";
    /** Each connection passes this many more bytes from the target and holds the rest until released. @default all */
    readonly holdAfterBytes?: number;
    /** Each connection is reset after this many bytes from the target. @default never */
    readonly resetAfterBytes?: number;
}
