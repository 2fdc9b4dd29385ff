import { constants, fstatSync, openSync } from "node:fs";
import { Socket } from "node:net";

const STDOUT = 1;
const OWN_STDOUT = `/proc/self/fd/${STDOUT}`;

/**
 * Returns a descriptor for standard output whose writes fail with EAGAIN while nobody reads. In a write that blocks, a thread
 * of Node.js would wait for the reader, and the end of the process for that thread.
 */
export function openLogOutput(): number {
    const status = fstatSync(STDOUT);
    if (status.isFile()) {
        return STDOUT;
    }
    if (!status.isSocket()) {
        try {
            // A descriptor of its own: the mode of the given one also holds for other processes that share it.
            return openSync(OWN_STDOUT, constants.O_WRONLY | constants.O_NONBLOCK | constants.O_NOCTTY);
        }
        catch {
            // The pipe has no reader, or belongs to another user.
        }
    }
    try {
        // A socket cannot be opened again. Node.js makes the descriptors that it takes over not block.
        new Socket({ fd: STDOUT, readable: false, writable: true }).unref();
    }
    catch {
        // Neither a pipe nor a socket, so that it may block; there is nowhere else to write to.
    }
    return STDOUT;
}
