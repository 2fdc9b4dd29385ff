/** Data centre and region of an instance or target. */
export interface Place {
    readonly dataCentre: string;
    readonly region: string;
}
