/** Identity of one daemon process. */
export interface Identity {
    readonly instance: string;
    readonly dataCentre: string;
    /** UUID version 7, new at each start. */
    readonly incarnation: string;
    /** Wall-clock time of the start in milliseconds. */
    readonly startedAtMs: number;
}
