/**
 * What was seen of a crash key (a prompt part or a whole request), as instances report it: its request was being served by
 * a target that crashed, or was answered completely. Ages are in milliseconds, because clocks of two instances cannot be
 * compared.
 */
export type CrashOutcome = readonly [
    key: string,
    outcome: "crash" | "success",
    /** Time since the request was sent to the target. */
    sentAgeMs: number,
    /** Time since the target crashed, or completed the response. */
    endedAgeMs: number,
    /** Target that crashed; empty for a success. */
    targetId: string,
];
