import type { Server } from "node:http";
import { buildAdmissionOptions } from "../../shared/buildAdmissionOptions.js";
import { CallerListeners } from "../../shared/callerListeners.js";
import type { ConnectionAdmission } from "../../shared/connectionAdmission.js";
import { readHeader } from "../../shared/readHeader.js";
import type { CallerServerOptions } from "./callerServerOptions.js";
import { findAccount } from "./findAccount.js";
import { ServedConnections } from "./servedConnections.js";

/** Connections that may be open until they are refused. */
const MAX_REFUSED = 4096;
/** Connections that are relayed at a time, of those that may be served: each takes two descriptors. */
const MAX_RELAYED = 1024;
const MAX_RELAYED_SHARE = 0.25;

/** Creates the listeners of a daemon for callers, within its limits of connections. */
export function createCallerListeners(
    { connectionLimits, findPeer = () => undefined, getView }: CallerServerOptions,
    getAdmission: () => ConnectionAdmission,
    createServer: () => Server,
): CallerListeners {
    const { maxServed = Infinity, maxRefused = MAX_REFUSED } = connectionLimits ?? {};
    const served = ServedConnections.create(maxServed);
    const readAccount = (head: string): string =>
        findAccount(readHeader(head, "authorization"), getView().index)?.name ?? "";
    return CallerListeners.create({
        createServer,
        connections: {
            ...buildAdmissionOptions(getAdmission, readAccount),
            maxRefused,
            maxRelayed: Math.floor(Math.min(MAX_RELAYED, maxServed * MAX_RELAYED_SHARE)),
            findPeer,
            mayServe: socket => served.tryAdd(socket, () => getAdmission().mayServe(socket)),
            maySpare: (socket, head) =>
                served.tryAdd(socket, () => getAdmission().maySpare(socket, readAccount(head))),
            countHoldable: () => 0,
        },
    });
}
