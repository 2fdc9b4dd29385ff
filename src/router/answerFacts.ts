/** What the head of a target's answer says. */
export interface AnswerFacts {
    readonly requestId: string | undefined;
    /** True if the target states that it did not run the request. */
    readonly isNotRun: boolean;
    /** True if another target than the expected one has the address. */
    readonly isMisdirected: boolean;
    /** False if only the end of the connection delimits the body, so that a truncated one looks whole. */
    readonly isFramed: boolean;
    /** Headers that are passed on, as a flat list of names and values. */
    readonly passedHeaders: readonly string[];
}
