import { Agent, type ClientRequestArgs } from "node:http";
import type { TcpNetConnectOpts } from "node:net";
import type { Duplex } from "node:stream";
import { PausableSocket } from "./pausableSocket.js";

/** Error with which a request fails that would need a second connection. */
const CONNECTION_LOST = "checked-connection-lost";

/**
 * One connection to a target for requests that must reach the same process: a restart of the target breaks it, and no
 * other one is opened in its place.
 */
export class CheckedAgent extends Agent {
    #hasConnected = false;

    private constructor() {
        super({ keepAlive: true, maxSockets: 1, noDelay: true });
    }

    /** Creates an agent without a connection. */
    static create(): CheckedAgent {
        return new CheckedAgent();
    }

    override createConnection(
        options: ClientRequestArgs,
        callback?: (error: Error | null, stream: Duplex) => void,
    ): Duplex | undefined {
        if (this.#hasConnected) {
            // The type definitions demand a connection beside an error.
            callback?.(new Error(CONNECTION_LOST), undefined as unknown as Duplex);
            return undefined;
        }
        this.#hasConnected = true;
        return PausableSocket.create(options as TcpNetConnectOpts);
    }

    /** Closes the connection after the last request. */
    override keepSocketAlive(): void {
        // The type definitions omit that the method returns whether the connection is kept, which `undefined` denies.
    }
}
