import { Client, credentials, type ServiceDefinition, type ServiceError, status } from "@grpc/grpc-js";
import { countTraffic } from "./countTraffic.js";
import { loadPeerDefinition } from "./loadPeerDefinition.js";
import { PeerCallError } from "./peerCallError.js";
import type { PeerCalls } from "./peerCalls.js";
import type { TrafficRecorder } from "./trafficRecorder.js";

/** Longest wait before reconnecting, so that a peer that rejoins is noticed within a second. */
const MAX_RECONNECT_BACKOFF_MS = 1000;

/** Calls peers over gRPC; keeps one connection for each address in use. */
export class PeerClient {
    readonly #clients = new Map<string, Client>();
    readonly #service: ServiceDefinition;

    private constructor(service: ServiceDefinition) {
        this.#service = service;
    }

    /** Creates a client without connections. */
    static create(traffic: TrafficRecorder): PeerClient {
        return new PeerClient(
            countTraffic(loadPeerDefinition().service as ServiceDefinition, traffic, "client"),
        );
    }

    /**
     * Sends one call.
     *
     * @param timeoutMs Time for the whole call in milliseconds.
     * @throws PeerCallError when no reply arrives in time or the peer reports an error.
     */
    send<M extends keyof PeerCalls>(
        address: string,
        method: M,
        message: PeerCalls[M]["message"],
        timeoutMs: number,
    ): Promise<PeerCalls[M]["reply"]> {
        const definition = this.#service[method];
        if (!definition) {
            throw new TypeError(`The protocol has no method ${method}.`);
        }
        const client = this.#connect(address);
        return new Promise((resolve, reject) => {
            client.makeUnaryRequest(
                definition.path,
                definition.requestSerialize,
                definition.responseDeserialize,
                message as object,
                { deadline: Date.now() + timeoutMs },
                (error: ServiceError | null, reply?: unknown) => {
                    if (error) {
                        reject(PeerCallError.create(method, address, isUnreachable(error), error));
                        return;
                    }
                    resolve(reply as PeerCalls[M]["reply"]);
                },
            );
        });
    }

    /** Closes the connection to one address, or all connections. */
    close(address?: string): void {
        for (const [key, client] of this.#clients) {
            if (address === undefined || key === address) {
                client.close();
                this.#clients.delete(key);
            }
        }
    }

    #connect(address: string): Client {
        const known = this.#clients.get(address);
        if (known) {
            return known;
        }
        const client = new Client(address, credentials.createInsecure(), {
            "grpc.max_reconnect_backoff_ms": MAX_RECONNECT_BACKOFF_MS,
            "grpc.initial_reconnect_backoff_ms": 100,
            "grpc.use_local_subchannel_pool": 1,
            "grpc.max_receive_message_length": 8 * 1024 * 1024,
        });
        this.#clients.set(address, client);
        return client;
    }
}

function isUnreachable(error: ServiceError): boolean {
    return error.code === status.UNAVAILABLE || error.code === status.DEADLINE_EXCEEDED;
}
