import { CollectedBytes } from "../core/bodies/collectedBytes.js";

interface Bounds {
    readonly maxBytes: number;
    /** Monotonic time in milliseconds after which no more bytes are read. */
    readonly deadline: number;
}

/**
 * Reads a JSON body of a server that may be out of its mind.
 *
 * @throws RangeError when the body is larger or later than its bounds.
 * @throws SyntaxError when it is not JSON.
 */
export async function readBoundedJson(parts: AsyncIterable<Buffer>, bounds: Bounds): Promise<unknown> {
    const body = CollectedBytes.create(bounds.maxBytes);
    // A throw within the loop closes the connection.
    for await (const chunk of parts) {
        if (body.length + chunk.length > bounds.maxBytes) {
            throw new RangeError(`The body is larger than ${bounds.maxBytes} bytes.`);
        }
        if (performance.now() > bounds.deadline) {
            throw new RangeError("The body did not arrive in time.");
        }
        body.append(chunk);
    }
    return JSON.parse(body.join().toString("utf8"));
}
