import { type handleUnaryCall, Server, ServerCredentials, status } from "@grpc/grpc-js";
import { countTraffic } from "./countTraffic.js";
import { loadPeerDefinition } from "./loadPeerDefinition.js";
import type { PeerHandlers } from "./peerHandlers.js";
import type { TrafficRecorder } from "./trafficRecorder.js";

type AnyHandler = (message: unknown) => Promise<unknown>;

/** Serves calls from peers over gRPC. */
export class PeerServer {
    readonly #server: Server;
    /** Address that the server listens on, host:port. */
    readonly address: string;

    private constructor(server: Server, address: string) {
        this.#server = server;
        this.address = address;
    }

    /**
     * Starts listening.
     *
     * @param address host:port; port 0 takes a free port.
     * @throws Error from gRPC when the address cannot be bound.
     */
    static async create(
        address: string,
        handlers: PeerHandlers,
        traffic: TrafficRecorder,
    ): Promise<PeerServer> {
        const server = new Server();
        const service = countTraffic(loadPeerDefinition().service, traffic, "server");
        server.addService(service, buildImplementation(handlers));
        const port = await new Promise<number>((resolve, reject) => {
            server.bindAsync(address, ServerCredentials.createInsecure(), (error, boundPort) => {
                if (error) {
                    reject(error);
                    return;
                }
                resolve(boundPort);
            });
        });
        const host = address.slice(0, address.lastIndexOf(":"));
        return new PeerServer(server, `${host}:${port}`);
    }

    /** Stops accepting calls and cancels open ones. */
    close(): void {
        this.#server.forceShutdown();
    }
}

function buildImplementation(handlers: PeerHandlers): Record<string, handleUnaryCall<unknown, unknown>> {
    const implementation: Record<string, handleUnaryCall<unknown, unknown>> = {};
    for (const [name, handler] of Object.entries(handlers) as [string, AnyHandler][]) {
        implementation[name] = (call, callback) => {
            handler(call.request).then(
                reply => callback(null, reply),
                (error: unknown) => callback({ code: status.INTERNAL, details: String(error) }),
            );
        };
    }
    return implementation;
}
