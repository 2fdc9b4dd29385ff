/** Formats a chunk of a chunked body. */
export function formatChunk(text: string): string {
    return `${text.length.toString(16)}\r\n${text}\r\n`;
}
