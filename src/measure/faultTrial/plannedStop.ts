/** A graceful stop that the fault trial requested. Times are wall-clock milliseconds. */
export interface PlannedStop {
    /** Entry address of the stopped daemon. */
    readonly entry: string;
    readonly fromMs: number;
    readonly toMs: number;
    readonly exitCode: number | undefined;
}
