/** Broken guarantee: streams of several versions or with gaps, requests without an answer, or any other. */
export interface SoakViolation {
    readonly rule: "stream-order" | "lost-request" | "other";
    /** Request identifier, or a name of what else the violation concerns. */
    readonly subject: string;
    readonly text: string;
}
