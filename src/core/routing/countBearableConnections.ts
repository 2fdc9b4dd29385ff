/** Memory of a connection with the head of a request; buffered bodies have a limit of their own. */
const CONNECTION_BYTES = 20_480;
const MEMORY_SHARE = 0.25;

/** Counts the connections that the memory of a process, in bytes, bears. */
export function countBearableConnections(memoryBytes: number): number {
    return Math.floor(memoryBytes * MEMORY_SHARE / CONNECTION_BYTES);
}
