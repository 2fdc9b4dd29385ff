import type { Socket } from "node:net";
import type { AcceptedConnection } from "./acceptedConnection.js";

/** Returns whether an accepted connection is the other side of one that the process has opened itself. */
export function isOwnConnection(accepted: AcceptedConnection, opened: Socket): boolean {
    const { remotePort, remoteAddress } = accepted;
    return remotePort !== undefined && remotePort === opened.localPort
        && remoteAddress === opened.localAddress;
}
