/** Formats an event that names its request. */
export function formatEvent(id: number, requestId: string): string {
    return `id: ${id}\ndata: ${requestId} ${id}\n\n`;
}
