import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Node.js begins each response so, whatever its status and the version of the request. */
const STATUS_LINE_START = "HTTP/1.1 ";

/** Number of bytes of the status line that have been written of responses that have not begun. */
const writtenStarts = new WeakMap<ServerResponse, number>();

/**
 * Writes something to a caller that waits for a response, or for its next bytes, without a change to the response:
 *
 * - before a response of HTTP/1.1, `100 Continue`, which each client passes over (RFC 9110, 15.2);
 * - before one of HTTP/1.0, which has no interim responses, the next byte of the status line, up to nine;
 * - between two chunks a leading zero of the next size (RFC 9112, 7.1). Parsers may limit the digits of a size; callers write few.
 *
 * Nothing is written within a response that has no chunks, nor after the last one.
 */
export function writeProbe(response: ServerResponse): void {
    const { socket, chunkedEncoding, headersSent, writableEnded, req } = response;
    if (!socket || writableEnded) {
        return;
    }
    if (headersSent) {
        if (chunkedEncoding) {
            response.flushHeaders();
            socket.write("0");
        }
        return;
    }
    if (req.httpVersion === "1.0") {
        writeStatusLineStart(response, socket);
        return;
    }
    response.writeContinue();
}

function writeStatusLineStart(response: ServerResponse, socket: Socket): void {
    const written = writtenStarts.get(response) ?? 0;
    if (written > 0) {
        Reflect.deleteProperty(socket, "write");
    }
    socket.write(STATUS_LINE_START.charAt(written));
    writtenStarts.set(response, written + 1);
    skipStart(socket, written + 1);
}

/** Leaves out the first characters of what is written next. */
function skipStart(socket: Socket, length: number): void {
    const { write } = socket;
    Object.assign(socket, {
        write: (data: string | Buffer, ...rest: readonly unknown[]): boolean => {
            if (data.length === 0) {
                return Reflect.apply(write, socket, [data, ...rest]);
            }
            Reflect.deleteProperty(socket, "write");
            return Reflect.apply(write, socket, [data.slice(length), ...rest]);
        },
    });
}
