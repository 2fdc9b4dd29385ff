import { Writable } from "node:stream";

/** Lines are dropped while more bytes than this wait for the reader of the log. */
const MAX_BUFFERED_BYTES = 262_144;

/**
 * Creates a stream that passes lines on without ever keeping the process from its work: lines that the reader of the log does
 * not take, and those after it has gone, are dropped.
 */
export function createLogOutput(output: Writable, onDropped: () => void): Writable {
    output.on("error", onDropped);
    return new Writable({
        decodeStrings: false,
        write: (line: string, _encoding, onWritten) => {
            if (output.writableLength > MAX_BUFFERED_BYTES) {
                onDropped();
            }
            else {
                output.write(line);
            }
            onWritten();
        },
    });
}
