import { Agent, type ClientRequest } from "node:http";
import type { Socket, TcpNetConnectOpts } from "node:net";
import { PausableSocket } from "./pausableSocket.js";

/** Limit of idle connections kept for one target. */
const MAX_IDLE_CONNECTIONS = 32;

/** Keep-alive connections to targets. An idle one that receives data is closed: the data belongs to no request. */
export class TargetAgent extends Agent {
    readonly #onStrayData = new WeakMap<Socket, () => void>();

    private constructor(idleTimeoutMs: number) {
        super({
            keepAlive: true,
            maxFreeSockets: MAX_IDLE_CONNECTIONS,
            scheduling: "lifo",
            timeout: idleTimeoutMs,
            noDelay: true,
        });
    }

    /** Creates a pool that closes connections after `idleTimeoutMs` without use. */
    static create(idleTimeoutMs: number): TargetAgent {
        return new TargetAgent(idleTimeoutMs);
    }

    override createConnection(options: TcpNetConnectOpts): Socket {
        return PausableSocket.create(options);
    }

    override keepSocketAlive(socket: Socket): boolean {
        // The type definitions omit that the method returns whether the connection is kept.
        const isKept = super.keepSocketAlive(socket) as unknown as boolean;
        if (isKept) {
            const onData = (): void => {
                socket.destroy();
            };
            this.#onStrayData.set(socket, onData);
            socket.on("data", onData);
        }
        return isKept;
    }

    override reuseSocket(socket: Socket, request: ClientRequest): void {
        const onData = this.#onStrayData.get(socket);
        if (onData) {
            socket.removeListener("data", onData);
        }
        super.reuseSocket(socket, request);
    }
}
