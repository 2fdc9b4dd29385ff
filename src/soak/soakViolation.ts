/**
 * Broken guarantee: streams of several versions or with gaps, requests without an answer, streams that do not go on
 * after all instances were killed, or any other.
 */
export interface SoakViolation {
    readonly rule: "stream-order" | "lost-request" | "lost-after-restart" | "other";
    /** Request identifier, or a name of what else the violation concerns. */
    readonly subject: string;
    readonly text: string;
}
