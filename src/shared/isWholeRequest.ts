import { readHeader } from "./readHeader.js";

/** Returns whether a request ends in its first chunk, so that nothing else arrives on its connection. */
export function isWholeRequest(chunk: Buffer, head: string): boolean {
    if (readHeader(head, "transfer-encoding") !== undefined) {
        return false;
    }
    const length = Number(readHeader(head, "content-length") ?? 0);
    return chunk.length >= head.length + length;
}
