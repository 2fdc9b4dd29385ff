/** Broken guarantee: streams of several versions or with gaps, requests without an answer, or any other. */
export interface SoakViolation {
    readonly rule: "stream-order" | "lost-request" | "other";
    readonly text: string;
}
