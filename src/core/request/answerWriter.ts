import type { HttpHeaders } from "./httpHeaders.js";

/** The caller's side of an answer. */
export interface AnswerWriter {
    /** Sends status and headers at once. */
    writeHead(status: number, headers: HttpHeaders): void;
    /** Writes a part of the body; false means that the caller reads slowly and writing should wait. */
    write(chunk: Uint8Array): boolean;
    /** Calls the listener once when the caller has taken what was written. */
    onDrain(listener: () => void): void;
    /** Ends a whole answer. */
    end(): void;
}
