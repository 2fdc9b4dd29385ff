/** A client account as the router needs it. */
export interface RoutedAccount {
    readonly name: string;
    /** Regions in which requests may be served; empty if all may. */
    readonly regions: readonly string[];
}
