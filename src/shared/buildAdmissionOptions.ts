import type { ConnectionAdmission } from "./connectionAdmission.js";
import type { ServerConnectionsOptions } from "./serverConnectionsOptions.js";

type Admission = Pick<
    ConnectionAdmission,
    | "isOverloaded"
    | "mayServe"
    | "tryRefuse"
    | "maySpare"
    | "countHoldable"
    | "mayServeHeld"
    | "tryRelay"
    | "recordRefused"
    | "recordFailure"
>;

/**
 * Builds the options of a server's connections that are decided about by an admission.
 *
 * @param getAdmission Returns the admission; called for each connection.
 * @param readAccount Reads the client account from the head of a request; empty if it has none.
 */
export function buildAdmissionOptions(
    getAdmission: () => Admission,
    readAccount: (head: string) => string,
): Omit<ServerConnectionsOptions, "maxUnread" | "maxRefused" | "maxRelayed" | "findPeer"> {
    return {
        mayServe: socket => getAdmission().mayServe(socket),
        mayRefuse: () => getAdmission().isOverloaded,
        tryRefuse: head => getAdmission().tryRefuse(readAccount(head)),
        maySpare: (socket, head) => getAdmission().maySpare(socket, readAccount(head)),
        countHoldable: () => getAdmission().countHoldable(),
        mayServeHeld: (socket, head) => getAdmission().mayServeHeld(socket, readAccount(head)),
        tryRelay: head => getAdmission().tryRelay(readAccount(head)),
        onRefused: () => getAdmission().recordRefused(),
        onFailed: error => getAdmission().recordFailure(error),
    };
}
