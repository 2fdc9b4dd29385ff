/** Data centre and region of an instance or a caller. */
export interface Locality {
    readonly dataCentre: string;
    readonly region: string;
}
