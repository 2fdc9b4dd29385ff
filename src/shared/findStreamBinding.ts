import { loadNodeBinding } from "./loadNodeBinding.js";
import type { SocketHandle } from "./socketHandle.js";

/** What `Socket` of Node.js uses itself. */
interface NodeBinding {
    readonly WriteWrap: new() => { oncomplete?: () => void; buffer?: Buffer; };
    readonly ShutdownWrap: new() => object;
    readonly streamBaseState: Int32Array;
    readonly kReadBytesOrError: number;
    readonly kArrayBufferOffset: number;
    readonly kLastWriteWasAsync: number;
}

/** Reads from and writes to connections that have no `Socket`. */
interface StreamBinding {
    /** Returns length and offset of what the handle that calls `onread` has read; the length is the negative number of an error. */
    readonly getLastRead: () => { readonly length: number; readonly offset: number; };
    /** Writes to a connection. Returns zero or the negative number of an error; `onWritten` is called unless there was one. */
    readonly write: (connection: SocketHandle, data: Buffer, onWritten: () => void) => number;
    /** Ends the sending side of a connection. Returns zero or the negative number of an error. */
    readonly end: (connection: SocketHandle) => number;
}

/** Finds the functions of this version of Node.js; `undefined` if it has others. */
export function findStreamBinding(): StreamBinding | undefined {
    const {
        WriteWrap,
        ShutdownWrap,
        streamBaseState,
        kReadBytesOrError,
        kArrayBufferOffset,
        kLastWriteWasAsync,
    } = loadNodeBinding<NodeBinding>("stream_wrap");
    if (
        !WriteWrap || !ShutdownWrap || !streamBaseState || kReadBytesOrError === undefined
        || kArrayBufferOffset === undefined || kLastWriteWasAsync === undefined
    ) {
        return undefined;
    }
    return {
        getLastRead: () => ({
            length: streamBaseState[kReadBytesOrError] ?? 0,
            offset: streamBaseState[kArrayBufferOffset] ?? 0,
        }),
        write: (connection, data, onWritten) => {
            const request = new WriteWrap();
            const status = connection.writeBuffer(request, data);
            if (status === 0 && streamBaseState[kLastWriteWasAsync] !== 0) {
                request.oncomplete = onWritten;
                // Keeps the memory until it has been written.
                request.buffer = data;
            }
            else if (status === 0) {
                onWritten();
            }
            return status;
        },
        end: connection => Math.min(0, connection.shutdown(new ShutdownWrap())),
    };
}
