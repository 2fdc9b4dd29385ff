/** Address that a server listens on. */
export interface ListenAddress {
    readonly host: string;
    readonly port: number;
}
