import { connect } from "node:net";
import type { ListenAddress } from "./listenAddress.js";

/** Longer than callers wait for a connection or a refusal in an overload. */
const ANSWER_TIMEOUT_MS = 3000;
/** The first attempt may fail because the process was suspended meanwhile. */
const ATTEMPTS = 2;
/** Errors of a process without descriptors, ports or memory for another connection, which tell nothing about its server. */
const UNKNOWN_CODES: ReadonlySet<string | undefined> = new Set([
    "EADDRNOTAVAIL",
    "EMFILE",
    "ENFILE",
    "ENOBUFS",
    "ENOMEM",
]);
const REQUEST = "GET / HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\n\r\n";

/**
 * Returns a function that asks the server of this process for callers whether it answers, with whatever status.
 *
 * @param getAddress Returns the address of the server; `undefined` while there is nothing to ask, in a start and in a stop.
 */
export function createServiceCheck(getAddress: () => ListenAddress | undefined): () => Promise<boolean> {
    return async () => {
        for (let attempt = 1; attempt <= ATTEMPTS; attempt += 1) {
            const address = getAddress();
            // A stop that has begun meanwhile closes the server.
            if (!address || await isAnswering(address) || !getAddress()) {
                return true;
            }
        }
        return false;
    };
}

function isAnswering(address: ListenAddress): Promise<boolean> {
    return new Promise(resolve => {
        const socket = connect({ ...address });
        const finish = (isAnswered: boolean): void => {
            clearTimeout(timer);
            socket.destroy();
            resolve(isAnswered);
        };
        const timer = setTimeout(() => finish(false), ANSWER_TIMEOUT_MS);
        socket.on("data", () => finish(true));
        socket.on("error", (error: NodeJS.ErrnoException) => finish(UNKNOWN_CODES.has(error.code)));
        socket.on("close", () => finish(false));
        socket.write(REQUEST);
    });
}
