/** Data centre and region of an instance or a caller. */
export interface Place {
    readonly dataCentre: string;
    readonly region: string;
}
