import { connect } from "node:net";

interface RawCall {
    /** HTTP status of the response; 0 if the connection ended without one. */
    readonly status: number;
    /** `undefined` if the connection ended in order. */
    readonly errorCode: string | undefined;
    /** Monotonic times in milliseconds: when the connection was there, the last byte was sent, and the connection ended. */
    readonly connectedAt: number | undefined;
    readonly sentAt: number;
    readonly endedAt: number;
}

/** Calls of a caller that opens a connection for each and sends at once. */
export const rawCaller = {
    /**
     * Sends a request on a new connection, and resolves once the connection has ended.
     *
     * @param onSent Called when the operating system has taken the last byte.
     */
    send: (url: string, request: string, onSent: () => void = () => undefined): Promise<RawCall> =>
        new Promise(resolve => {
            const { hostname, port } = new URL(url);
            const socket = connect({ host: hostname, port: Number(port) });
            let received = "";
            let connectedAt: number | undefined;
            let sentAt = 0;
            let errorCode: string | undefined;
            socket.on("connect", () => connectedAt = performance.now());
            socket.on("data", data => received += data.toString());
            socket.on("error", (error: NodeJS.ErrnoException) => errorCode = error.code);
            socket.on("close", () => {
                const status = Number(/^HTTP\/1\.1 (\d+) /u.exec(received)?.[1] ?? 0);
                resolve({ status, errorCode, connectedAt, sentAt, endedAt: performance.now() });
            });
            socket.write(request, () => {
                sentAt = performance.now();
                onSent();
            });
        }),
};
