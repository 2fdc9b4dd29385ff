import { Agent, type AgentOptions, type ClientRequest } from "node:http";
import type { Socket, TcpNetConnectOpts } from "node:net";
import { PausableSocket } from "./pausableSocket.js";

/** Limit of idle connections kept for one target. */
const MAX_IDLE_CONNECTIONS = 32;

/** Keep-alive connections to targets. An idle one that receives data is closed: the data belongs to no request. */
export class TargetAgent extends Agent {
    readonly #idleDataListeners = new WeakMap<Socket, () => void>();
    #openConnections = 0;

    private constructor(options: AgentOptions) {
        super({ ...options, noDelay: true });
    }

    /** Creates a pool that closes connections after `idleTimeoutMs` without use. */
    static create(idleTimeoutMs: number): TargetAgent {
        return new TargetAgent({
            keepAlive: true,
            maxFreeSockets: MAX_IDLE_CONNECTIONS,
            scheduling: "lifo",
            timeout: idleTimeoutMs,
        });
    }

    /** Creates a pool that opens a connection for each request and closes it after the response. */
    static createDedicated(): TargetAgent {
        return new TargetAgent({ keepAlive: false });
    }

    /** Number of connections that are open, or about to be. */
    get openConnections(): number {
        return this.#openConnections;
    }

    override createConnection(options: TcpNetConnectOpts): Socket {
        const socket = PausableSocket.create(options);
        this.#openConnections += 1;
        socket.once("close", () => this.#openConnections -= 1);
        return socket;
    }

    override keepSocketAlive(socket: Socket): boolean {
        // The type definitions omit that the method returns whether the connection is kept.
        const isKept = super.keepSocketAlive(socket) as unknown as boolean;
        if (isKept) {
            const onData = (): void => {
                socket.destroy();
            };
            this.#idleDataListeners.set(socket, onData);
            socket.on("data", onData);
        }
        return isKept;
    }

    override reuseSocket(socket: Socket, request: ClientRequest): void {
        const onData = this.#idleDataListeners.get(socket);
        if (onData) {
            socket.removeListener("data", onData);
        }
        super.reuseSocket(socket, request);
    }
}
