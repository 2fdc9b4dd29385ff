import { type handleUnaryCall, Server, ServerCredentials, status } from "@grpc/grpc-js";
import { type AddressInfo, createServer, type Server as TcpServer, type Socket } from "node:net";
import { BoundedConnections } from "../shared/boundedConnections.js";
import { parseListenAddress } from "../shared/parseListenAddress.js";
import type { PortBinder } from "../shared/portBinder.js";
import { countTraffic } from "./countTraffic.js";
import { loadPeerDefinition } from "./loadPeerDefinition.js";
import type { PeerHandlers } from "./peerHandlers.js";
import type { TrafficRecorder } from "./trafficRecorder.js";

interface PeerServerOptions {
    /** host:port; port 0 takes a free port. */
    readonly address: string;
    readonly ports: Pick<PortBinder, "openServer">;
    /** Number of connections that are served at once. */
    readonly maxConnections: number;
    readonly handlers: PeerHandlers;
    readonly traffic: TrafficRecorder;
}

/** Calls of peers take at most a few hundred milliseconds. */
const CLOSE_TIMEOUT_MS = 1000;
/**
 * Node.js reads no further from a connection on which it has met a malformed frame, and so keeps its descriptor after the other
 * side has closed it. A ping without a reply closes it.
 */
const KEEPALIVE_OPTIONS = { "grpc.keepalive_time_ms": 5000, "grpc.keepalive_timeout_ms": 5000 };

type AnyHandler = (message: unknown) => Promise<unknown>;

/** Serves calls from peers over gRPC. */
export class PeerServer {
    readonly #server: Server;
    readonly #listener: TcpServer;

    private constructor(server: Server, listener: TcpServer) {
        this.#server = server;
        this.#listener = listener;
    }

    /**
     * Starts listening.
     *
     * @throws PortError when the address cannot be bound.
     */
    static async create(options: PeerServerOptions): Promise<PeerServer> {
        const { address, ports, maxConnections, handlers, traffic } = options;
        const server = new Server(KEEPALIVE_OPTIONS);
        const service = countTraffic(loadPeerDefinition().service, traffic, "server");
        const connections = BoundedConnections.create({
            maxOpen: maxConnections,
            getNow: () => performance.now(),
            close: socket => socket.destroy(),
        });
        const sockets = new Map<string, Socket>();
        const runRecorded = async (peer: string, run: () => Promise<unknown>): Promise<unknown> => {
            const socket = sockets.get(peer);
            if (!socket) {
                return run();
            }
            connections.recordRequest(socket);
            return run().finally(() => connections.recordEnd(socket));
        };
        server.addService(service, buildImplementation(handlers, runRecorded));
        // gRPC binds a port once only, and does not tell the code of the error.
        const injector = server.createConnectionInjector(ServerCredentials.createInsecure());
        const listener = createServer(socket => {
            if (!connections.tryAdd(socket)) {
                socket.destroy();
                return;
            }
            // As gRPC names it.
            const peer = `${socket.remoteAddress}:${socket.remotePort}`;
            sockets.set(peer, socket);
            socket.once("close", () => sockets.delete(peer));
            injector.injectConnection(socket);
        });
        await ports.openServer("peers", listener, parseListenAddress(address));
        return new PeerServer(server, listener);
    }

    /** Address that the server listens on, host:port. */
    get address(): string {
        const { address, port } = this.#listener.address() as AddressInfo;
        return `${address}:${port}`;
    }

    /** Stops accepting calls and waits for open ones, which are cancelled after a limited time. */
    async close(): Promise<void> {
        this.#listener.close();
        let timer: NodeJS.Timeout | undefined;
        await Promise.race([
            new Promise<void>(resolve => this.#server.tryShutdown(() => resolve())),
            new Promise<void>(resolve => timer = setTimeout(resolve, CLOSE_TIMEOUT_MS)),
        ]);
        clearTimeout(timer);
        this.#server.forceShutdown();
    }
}

function buildImplementation(
    handlers: PeerHandlers,
    run: (peer: string, call: () => Promise<unknown>) => Promise<unknown>,
): Record<string, handleUnaryCall<unknown, unknown>> {
    const implementation: Record<string, handleUnaryCall<unknown, unknown>> = {};
    for (const [name, handler] of Object.entries(handlers) as [string, AnyHandler][]) {
        implementation[name] = (call, callback) => {
            run(call.getPeer(), () => handler(call.request)).then(
                reply => callback(null, reply),
                (error: unknown) => callback({ code: status.INTERNAL, details: String(error) }),
            );
        };
    }
    return implementation;
}
