/** A stream that has begun at an instance. */
export interface SimulatedStream {
    readonly streamId: string;
    readonly path: string;
    readonly service: string;
    readonly version: string | undefined;
    readonly begunBy: number;
    readonly begunAt: number;
}
