/** Connection that has been accepted, as a `Socket`. */
export interface AcceptedConnection {
    readonly remoteAddress?: string | undefined;
    readonly remotePort?: number | undefined;
    readonly destroy: () => unknown;
    readonly resume: () => unknown;
}
