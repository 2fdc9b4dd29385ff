import type { HttpHeaders } from "./httpHeaders.js";

/** Writes the response to a caller. */
export interface ResponseWriter {
    /** Sends status and headers at once. */
    writeHead(status: number, headers: HttpHeaders): void;
    /** Writes a chunk of the body. Returns false as backpressure: writing should wait for `onDrain`. */
    write(chunk: Uint8Array): boolean;
    /** Calls the listener once when the caller has taken the chunks written so far. */
    onDrain(listener: () => void): void;
    /** Ends a complete response. */
    end(): void;
}
