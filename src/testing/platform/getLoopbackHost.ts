/** Last byte of the first instance's address. */
const FIRST_HOST_BYTE = 11;
const NETWORKS = 127;
const BYTE_RANGE = 256;

/**
 * Returns the loopback address of an instance. Each test process has a network of its own: a port that was found free may be
 * taken by a fleet of another process before it is used.
 */
export function getLoopbackHost(instanceIndex: number): string {
    const { pid } = process;
    const network = 1 + Math.floor(pid / BYTE_RANGE) % NETWORKS;
    return `127.${network}.${pid % BYTE_RANGE}.${FIRST_HOST_BYTE + instanceIndex}`;
}
