import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import type { AcceptQueue } from "../shared/acceptQueue.js";
import type { ListenAddress } from "../shared/listenAddress.js";
import type { PortBinder } from "../shared/portBinder.js";
import { ServerConnections } from "../shared/serverConnections.js";
import type { ServerConnectionsOptions } from "../shared/serverConnectionsOptions.js";
import { checkAcceptQueue } from "./checkAcceptQueue.js";
import { createCallerServer } from "./createCallerServer.js";
import type { LogSink } from "./logSink.js";
import { setCallerTimeouts } from "./setCallerTimeouts.js";

interface CallerListenersOptions {
    readonly connections: ServerConnectionsOptions;
    readonly onRequest: (incoming: IncomingMessage, response: ServerResponse) => void;
    readonly onClientError: (error: Error, socket: Duplex) => void;
    readonly onConnect: (socket: Duplex) => void;
    readonly onUpgrade: (socket: Duplex) => void;
}

interface ListenOptions {
    readonly ports: Pick<PortBinder, "openServer">;
    readonly log: Pick<LogSink, "write">;
    readonly callerAddress: ListenAddress;
    /** Address for connections that peers relay; `undefined` if they relay none. */
    readonly relayAddress: ListenAddress | undefined;
}

/**
 * Connections that the operating system queues while the process is busy; it caps the value to its own limit. Connections
 * beyond the queue are acknowledged, too, and reset later, so a surplus is refused once it has been accepted.
 */
const LISTEN_BACKLOG = 4096;

/** Servers for callers' connections: those that callers open here, and those that busy peers relay, which are relayed no further. */
export class CallerListeners {
    readonly #callers: ServerConnections;
    readonly #relayed: ServerConnections;
    readonly #servers: Readonly<Record<"callers" | "relay", Server>>;
    /** Connections that peers relay. */
    readonly #fromPeers = new WeakSet<Socket>();
    #listening: readonly ServerConnections[] = [];

    private constructor(options: CallerListenersOptions) {
        const createServer = (): Server => {
            const server = createCallerServer(options.onRequest);
            server.on("clientError", options.onClientError);
            server.on("connect", (_incoming, socket) => options.onConnect(socket));
            server.on("upgrade", (_incoming, socket) => options.onUpgrade(socket));
            return server;
        };
        this.#servers = { callers: createServer(), relay: createServer() };
        this.#callers = ServerConnections.create(this.#servers.callers, options.connections);
        const relayNone = { maxRelayed: 0 };
        this.#relayed = ServerConnections.create(this.#servers.relay, {
            ...options.connections,
            ...relayNone,
        });
        this.#servers.relay.prependListener(
            "connection",
            (socket: Socket) => void this.#fromPeers.add(socket),
        );
    }

    /** Creates servers that do not listen yet. */
    static create(options: CallerListenersOptions): CallerListeners {
        return new CallerListeners(options);
    }

    /**
     * Starts listening.
     *
     * @throws PortError when an address cannot be bound.
     */
    async open({ ports, log, callerAddress, relayAddress }: ListenOptions): Promise<void> {
        const backlog = LISTEN_BACKLOG;
        await ports.openServer("callers", this.#servers.callers, { ...callerAddress, backlog });
        this.#listening = [this.#callers];
        if (relayAddress) {
            await ports.openServer("relay", this.#servers.relay, { ...relayAddress, backlog });
            this.#listening = [this.#callers, this.#relayed];
        }
        void checkAcceptQueue(backlog, log);
    }

    /** The queues of connections that have not been accepted yet, of which the slower one counts. */
    get queue(): Pick<AcceptQueue, "waitMs"> {
        const queues = [this.#callers.queue, this.#relayed.queue];
        return {
            get waitMs() {
                return Math.max(...queues.map(queue => queue.waitMs));
            },
        };
    }

    /** Number of connections that are held until they may be served. */
    get held(): number {
        return this.#callers.held + this.#relayed.held;
    }

    /** Number of callers' connections that are relayed to peers. */
    get relayedToPeers(): number {
        return this.#callers.relayed;
    }

    /** Returns whether a connection is relayed by a peer. */
    isFromPeer(socket: Socket): boolean {
        return this.#fromPeers.has(socket);
    }

    /** Sets the timeouts for callers. */
    setTimeouts(timeouts: Parameters<typeof setCallerTimeouts>[1]): void {
        Object.values(this.#servers).forEach(server => setCallerTimeouts(server, timeouts));
    }

    /** Accepts the connections that have been opened until now, and no more; at the latest `until` (monotonic milliseconds). */
    async stopListening(until: number): Promise<void> {
        await Promise.all(this.#listening.map(connections => connections.stopListening(until)));
    }

    /** Waits until the requests on accepted connections have been answered; at the latest `until` (monotonic milliseconds). */
    async waitForResponses(until: number): Promise<void> {
        await Promise.all(this.#listening.map(connections => connections.waitForResponses(until)));
    }

    /** Ends the connections, and waits until callers have closed them; at the latest `until` (monotonic milliseconds). */
    async endConnections(until: number): Promise<void> {
        await Promise.all(this.#listening.map(connections => connections.endConnections(until)));
    }

    /** Closes everything at once. */
    close(): void {
        Object.values(this.#servers).forEach(server => server.close());
        [this.#callers, this.#relayed].forEach(connections => connections.dropConnections());
    }
}
