/** Connection of Node.js before a `Socket` is made for it. */
export interface SocketHandle {
    /** Called with what has been read; `undefined` at the end of the connection and after errors. */
    onread: (bytes: ArrayBuffer | undefined) => void;
    /** Begins to read. Returns zero or the negative number of an error, as the other methods. */
    readonly readStart: () => number;
    readonly readStop: () => number;
    readonly writeBuffer: (request: object, data: Buffer) => number;
    /** Ends the sending side once everything has been written. */
    readonly shutdown: (request: object) => number;
    readonly getpeername: (peer: { address?: string; port?: number; }) => number;
    readonly close: () => void;
    /** Closes the connection with a reset. */
    readonly reset: () => number;
}
