import type { SocketHandle } from "./socketHandle.js";

/** Returns the address of the other side of a connection that has no `Socket`; both parts are `undefined` after a reset. */
export function getPeerAddress(
    connection: Pick<SocketHandle, "getpeername">,
): { readonly address: string | undefined; readonly port: number | undefined; } {
    const peer: { address?: string; port?: number; } = {};
    connection.getpeername(peer);
    return { address: peer.address, port: peer.port };
}
