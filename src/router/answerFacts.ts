/** Attributes of a target's response that its status and headers give. */
export interface AnswerFacts {
    readonly requestId: string | undefined;
    /** True if the target declares that it did not execute the request. */
    readonly isNotRun: boolean;
    /** True if the target at the address is not the expected one. */
    readonly isMisdirected: boolean;
    /** False if only the end of the connection delimits the body, so that truncation cannot be detected. */
    readonly isFramed: boolean;
    /** Headers to forward, as a flat list of names and values. */
    readonly passedHeaders: readonly string[];
}
