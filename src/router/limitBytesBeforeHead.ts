import type { Socket } from "node:net";

/** Interim responses before a response, each with a head as large as the parser allows (16 KiB), and its own head. */
const MAX_BYTES_BEFORE_HEAD = 9 * 16_384;

/**
 * Limits what is read from a connection before the head of a response. The parser skips empty lines, so that they never exceed
 * its own limit.
 *
 * @param onExceeded Called once the limit in bytes is exceeded.
 * @returns A function that ends the limit, once the head has arrived.
 */
export function limitBytesBeforeHead(socket: Socket, onExceeded: () => void): () => void {
    const bytesBefore = socket.bytesRead;
    const checkBytes = (): void => {
        if (socket.bytesRead - bytesBefore > MAX_BYTES_BEFORE_HEAD) {
            socket.off("data", checkBytes);
            onExceeded();
        }
    };
    socket.on("data", checkBytes);
    return () => socket.off("data", checkBytes);
}
