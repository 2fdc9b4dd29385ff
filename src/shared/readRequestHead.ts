const HEAD_END = "\r\n\r\n";

/** Reads the head of a request with all its line ends; `undefined` if it goes on after the chunk. */
export function readRequestHead(chunk: Buffer): string | undefined {
    const end = chunk.indexOf(HEAD_END);
    return end < 0 ? undefined : chunk.toString("latin1", 0, end + HEAD_END.length);
}
