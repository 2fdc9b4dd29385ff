import { getSystemErrorName } from "node:util";
import { ConnectionRelay } from "./connectionRelay.js";
import { findStreamBinding } from "./findStreamBinding.js";
import { findTcpBinding } from "./findTcpBinding.js";
import { getPeerAddress } from "./getPeerAddress.js";
import type { ListenAddress } from "./listenAddress.js";
import type { SocketHandle } from "./socketHandle.js";

interface RelayedConnectionsOptions {
    /** Finds an instance that has room for a connection, by an address of its caller; `undefined` if there is none. */
    readonly findPeer: (caller: string) => ListenAddress | undefined;
    /** Number of connections that may be relayed at a time; each takes two descriptors. */
    readonly maxOpen: number;
    /**
     * Returns a function if a connection is relayed, by the head of its first request with all its line ends; it is told whether the
     * other instance has refused the request.
     */
    readonly tryRelay: (head: string) => ((isRefused: boolean) => void) | undefined;
    /** Called when the connection to the other instance fails. */
    readonly onFailed: (error: Error) => void;
}

type RelayOptions = Parameters<typeof ConnectionRelay.create>[0];

interface Bindings {
    readonly stream: RelayOptions["binding"];
    readonly tcp: NonNullable<ReturnType<typeof findTcpBinding>>;
}

/** Part of a request that has been read from a connection. */
interface ReceivedRequest {
    readonly head: string;
    /** All bytes that have been read, with the head. */
    readonly bytes: Buffer;
}

/** Connection to another instance that is being opened. */
interface PendingConnection {
    /** Monotonic time in milliseconds. */
    readonly until: number;
    readonly fail: (code: string) => void;
    readonly close: () => void;
}

/** Instances of one data centre connect within a few milliseconds. */
const CONNECT_TIMEOUT_MS = 250;
const CHECK_INTERVAL_MS = 50;
/** Pieces of up to 64 KB that are held until the other instance has accepted the connection. */
const MAX_CHUNKS = 4;

/**
 * Callers' connections whose bytes are relayed unparsed to another instance, which serves them. An instance relays several connections
 * in the processor time of one that it serves. No byte is sent twice: a connection is served here only while none has been sent.
 * Without the parts of Node.js that are not public, nothing is relayed.
 */
export class RelayedConnections {
    readonly #options: RelayedConnectionsOptions;
    readonly #bindings: Bindings | undefined;
    readonly #pending = new Set<PendingConnection>();
    readonly #open = new Set<ConnectionRelay>();
    /** Set while connections are relayed. */
    #timer: NodeJS.Timeout | undefined;

    private constructor(options: RelayedConnectionsOptions) {
        this.#options = options;
        const [stream, tcp] = [findStreamBinding(), findTcpBinding()];
        this.#bindings = stream && tcp && { stream, tcp };
    }

    /** Creates a record of no connections. */
    static create(options: RelayedConnectionsOptions): RelayedConnections {
        return new RelayedConnections(options);
    }

    /** Number of connections that are being relayed. */
    get size(): number {
        return this.#pending.size + this.#open.size;
    }

    /**
     * Relays a connection that is not being read, if another instance has room. Returns whether it does.
     *
     * @param serve Called with what has been read if the connection is to be served here, before anything has been sent.
     */
    tryAdd(
        caller: SocketHandle,
        { head, bytes }: ReceivedRequest,
        serve: (received: Buffer) => void,
    ): boolean {
        const { findPeer, maxOpen, tryRelay } = this.#options;
        const bindings = this.#bindings;
        if (!bindings || this.size >= maxOpen) {
            return false;
        }
        const address = findPeer(describeCaller(caller));
        const onResponse = address && tryRelay(head);
        if (!address || !onResponse) {
            return false;
        }
        this.#timer ??= setInterval(() => this.#expire(), CHECK_INTERVAL_MS);
        this.#connect({ ...bindings, onResponse }, caller, bytes, address, serve);
        return true;
    }

    /** Answers the connections on which no response has begun: their instance is about to end. */
    end(): void {
        this.#open.forEach(relay => relay.end());
    }

    /** Closes all connections at once. */
    drop(): void {
        this.#pending.forEach(({ close }) => close());
        this.#open.forEach(relay => relay.close());
    }

    #connect(
        { stream, tcp, onResponse }: Bindings & Pick<RelayOptions, "onResponse">,
        caller: SocketHandle,
        received: Buffer,
        address: ListenAddress,
        serve: (received: Buffer) => void,
    ): void {
        const { onFailed } = this.#options;
        const chunks = [received];
        const peer = tcp.connect(address, status => {
            if (!this.#pending.has(pending)) {
                return;
            }
            if (status < 0) {
                pending.fail(getSystemErrorName(status));
            }
            else {
                this.#pending.delete(pending);
                caller.readStop();
                this.#relay({
                    binding: stream,
                    caller,
                    peer,
                    received: Buffer.concat(chunks),
                    onResponse,
                    onFailed,
                });
            }
        });
        const pending: PendingConnection = {
            until: performance.now() + CONNECT_TIMEOUT_MS,
            fail: code => {
                onFailed(Object.assign(new Error(code), { code }));
                serveHere();
            },
            close: () => {
                this.#pending.delete(pending);
                peer.close();
                caller.reset();
            },
        };
        const serveHere = (): void => {
            this.#pending.delete(pending);
            peer.close();
            caller.readStop();
            serve(Buffer.concat(chunks));
        };
        this.#pending.add(pending);
        // A caller that closed its connection while that waited to be accepted would look like one that has closed its sending side a
        // moment ago, as the other instance gets the end later than the request.
        caller.onread = bytes => {
            const { length, offset } = stream.getLastRead();
            if (bytes && length > 0) {
                chunks.push(Buffer.from(bytes, offset, length));
                if (chunks.length >= MAX_CHUNKS) {
                    caller.readStop();
                }
            }
            else if (length < 0) {
                serveHere();
            }
        };
        caller.readStart();
    }

    #relay(options: Omit<RelayOptions, "onClosed">): void {
        const relay = ConnectionRelay.create({
            ...options,
            onClosed: closed => this.#open.delete(closed),
        });
        if (!relay.isClosed) {
            this.#open.add(relay);
        }
    }

    #expire(): void {
        const now = performance.now();
        [...this.#pending].filter(({ until }) => until <= now).forEach(({ fail }) => fail("ETIMEDOUT"));
        this.#open.forEach(relay => relay.check(now));
        if (this.size === 0) {
            clearInterval(this.#timer);
            this.#timer = undefined;
        }
    }
}

function describeCaller(caller: SocketHandle): string {
    const { address, port } = getPeerAddress(caller);
    return `${address}:${port}`;
}
