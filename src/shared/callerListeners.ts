import type { Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { EndPlan } from "../core/routing/endPlan.js";
import type { AcceptQueue } from "./acceptQueue.js";
import { BoundedConnections } from "./boundedConnections.js";
import { checkAcceptQueue } from "./checkAcceptQueue.js";
import type { ListenAddress } from "./listenAddress.js";
import type { PortBinder } from "./portBinder.js";
import { ServerConnections } from "./serverConnections.js";
import type { ServerConnectionsOptions } from "./serverConnectionsOptions.js";
import { UNREAD_REFUSAL } from "./unreadRefusal.js";

interface CallerListenersOptions {
    readonly connections: ServerConnectionsOptions;
    /** Creates a server for callers that does not listen yet. */
    readonly createServer: () => Server;
}

interface ListenOptions {
    readonly ports: Pick<PortBinder, "openServer">;
    readonly callerAddress: ListenAddress;
    /** Address for connections that peers relay; `undefined` if they relay none. */
    readonly relayAddress: ListenAddress | undefined;
    /** Told if the operating system caps the accept queues. @default nobody */
    readonly log?: Parameters<typeof checkAcceptQueue>[1];
}

/**
 * Connections that the operating system queues while the process is busy; it caps the value to its own limit. Connections
 * beyond the queue are acknowledged, too, and reset later, so a surplus is refused once it has been accepted.
 */
const LISTEN_BACKLOG = 4096;
const POLL_MS = 20;

/** Servers for callers' connections: those that callers open here, and those that busy peers relay, which are relayed no further. */
export class CallerListeners {
    readonly #callers: ServerConnections;
    readonly #relayed: ServerConnections;
    readonly #servers: Readonly<Record<"callers" | "relay", Server>>;
    /** Connections that peers relay. */
    readonly #fromPeers = new WeakSet<Socket>();
    #listening: readonly ServerConnections[] = [];

    private constructor({ connections, createServer }: CallerListenersOptions) {
        this.#servers = { callers: createServer(), relay: createServer() };
        this.#callers = ServerConnections.create(this.#servers.callers, connections);
        const { maxRelayed = 0, mayServe = () => true } = connections;
        const bounded = limitConnections(this.#servers.relay, maxRelayed);
        this.#relayed = ServerConnections.create(this.#servers.relay, {
            ...connections,
            maxRelayed: 0,
            mayServe: socket => bounded.tryAdd(socket) && mayServe(socket),
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
        if (log) {
            void checkAcceptQueue(backlog, log);
        }
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

    /** Number of descriptors of these connections, which take two each. */
    get relayDescriptors(): number {
        return this.relayedToPeers * 2;
    }

    /** Returns whether a connection is relayed by a peer. */
    isFromPeer(socket: Socket): boolean {
        return this.#fromPeers.has(socket);
    }

    /** The servers, in no order. */
    get servers(): readonly Server[] {
        return Object.values(this.#servers);
    }

    /** Address that the server for callers listens on, host:port. */
    get callerAddress(): string {
        return formatAddress(this.#servers.callers.address() as AddressInfo);
    }

    /** Address for connections that peers relay, host:port; `undefined` if they relay none. */
    get relayAddress(): string | undefined {
        const address = this.#servers.relay.address() as AddressInfo | null;
        return address ? formatAddress(address) : undefined;
    }

    /** Waits until peers have served all connections that were relayed to them. */
    async waitForRelayed(): Promise<void> {
        while (this.relayedToPeers > 0) {
            await sleep(POLL_MS);
        }
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

    /** Stops listening, and closes all connections after the responses to the requests on them. */
    async end({ answerBy, closeBy }: EndPlan): Promise<void> {
        await this.stopListening(answerBy);
        await this.waitForResponses(answerBy);
        await this.endConnections(closeBy);
        this.close();
    }

    /** Closes everything at once. */
    close(): void {
        Object.values(this.#servers).forEach(server => server.close());
        [this.#callers, this.#relayed].forEach(connections => connections.dropConnections());
    }
}

/** Bounds the connections of a server, so that idle ones do not take the place of those that callers open. */
function limitConnections(server: Server, maxOpen: number): BoundedConnections {
    const bounded = BoundedConnections.create({
        maxOpen,
        getNow: () => performance.now(),
        close: (socket, isUsed) =>
            void (isUsed ? socket.destroy() : socket.end(UNREAD_REFUSAL, () => socket.destroy())),
    });
    server.prependListener("request", ({ socket }, response) => {
        bounded.recordRequest(socket);
        response.once("close", () => bounded.recordEnd(socket));
    });
    return bounded;
}

function formatAddress({ address, port }: AddressInfo): string {
    return `${address}:${port}`;
}
