import type { Socket } from "node:net";
import { isWholeRequest } from "./isWholeRequest.js";
import { readRequestHead } from "./readRequestHead.js";
import { UNREAD_REFUSAL } from "./unreadRefusal.js";

interface RefusedConnectionsOptions {
    /** Number of connections that may be open; beyond it, each further one is closed as soon as it is refused. */
    readonly maxOpen: number;
    /**
     * Returns whether a connection is served after all, by the head of its first request with all its line ends; it is asked if
     * the head has arrived in one piece.
     */
    readonly maySpare: (socket: Socket, head: string) => boolean;
    /** Returns how many connections with whole requests may be held; the others are refused. */
    readonly countHoldable: () => number;
    /** Returns whether a connection that has been held is served now. */
    readonly mayServeHeld: (socket: Socket, head: string) => boolean;
    /** Serves a connection; what has been read is there to be read again. */
    readonly serve: (socket: Socket) => void;
    readonly onRefused: () => void;
    /** Called when a connection breaks before its caller has read the refusal. */
    readonly onFailed: (error: Error) => void;
}

const REFUSAL = Buffer.from(UNREAD_REFUSAL, "latin1");
/** Time in which a caller begins to send its request, sends more of it, or reads the refusal. */
const LINGER_MS = 1000;
/** A caller that goes on sending for longer gets a reset, which may overtake the refusal. */
const MAX_LINGER_MS = 10_000;
const CHECK_INTERVAL_MS = 50;
const HOLD_INTERVAL_MS = 10;

/** Connection that is served as soon as it may be. */
interface HeldConnection {
    readonly head: string;
    readonly serve: () => void;
    readonly refuse: (isWhole: boolean) => void;
}

/**
 * Connections whose requests are refused at the least cost: without a parser, and without a further turn of the event loop once the
 * whole request has arrived. Bytes that are left unread would reset the connection, and the reset may overtake the refusal.
 */
export class RefusedConnections {
    readonly #options: RefusedConnectionsOptions;
    /** Open connections with the monotonic times in milliseconds at which they are closed. */
    readonly #open = new Map<Socket, number>();
    /** Those of the open connections that are held, the first one first. */
    readonly #held = new Map<Socket, HeldConnection>();
    /** Set while connections are held. */
    #holdTimer: NodeJS.Timeout | undefined;
    /** Set while connections are open. */
    #timer: NodeJS.Timeout | undefined;

    private constructor(options: RefusedConnectionsOptions) {
        this.#options = options;
    }

    /** Creates a record of no connections. */
    static create(options: RefusedConnectionsOptions): RefusedConnections {
        return new RefusedConnections(options);
    }

    /** Number of open connections. */
    get size(): number {
        return this.#open.size;
    }

    /** Number of connections that are held. */
    get held(): number {
        return this.#held.size;
    }

    /** Refuses a connection once its caller has sent something: an earlier response would belong to no request. */
    add(socket: Socket): void {
        const { maxOpen, maySpare, countHoldable, serve, onRefused, onFailed } = this.#options;
        const fail = (error: Error): void => {
            onFailed(error);
            this.#close(socket);
        };
        if (this.#open.size >= maxOpen) {
            onRefused();
            socket.on("error", fail);
            socket.end(REFUSAL, () => socket.destroy());
            return;
        }
        const acceptedAt = performance.now();
        const extend = (): void => {
            this.#open.set(socket, Math.min(performance.now() + LINGER_MS, acceptedAt + MAX_LINGER_MS));
        };
        extend();
        this.#timer ??= setInterval(() => this.#expire(), CHECK_INTERVAL_MS);
        const close = (): void => {
            this.#refuseHeld(socket, true);
            this.#close(socket);
        };
        const serveAfterAll = (chunk: Buffer): void => {
            this.#open.delete(socket);
            socket.off("error", fail);
            socket.off("end", close);
            socket.pause();
            socket.unshift(chunk);
            serve(socket);
            socket.resume();
        };
        const refuse = (isWhole: boolean): void => {
            onRefused();
            if (isWhole) {
                socket.write(REFUSAL);
                close();
                return;
            }
            socket.end(REFUSAL);
            extend();
            socket.on("data", extend);
        };
        socket.once("data", (chunk: Buffer) => {
            if (socket.writableEnded) {
                // It was refused because nothing had arrived for too long.
                socket.on("data", extend);
                return;
            }
            const head = readRequestHead(chunk);
            if (head !== undefined && maySpare(socket, head)) {
                serveAfterAll(chunk);
                return;
            }
            const isWhole = head !== undefined && isWholeRequest(chunk, head);
            if (head === undefined || !isWhole || this.#held.size >= countHoldable()) {
                refuse(isWhole);
                return;
            }
            // Nothing more is kept of a caller that does not wait for its response.
            const refuseFurther = (): void => this.#refuseHeld(socket, false);
            socket.once("data", refuseFurther);
            this.#open.set(socket, Number.POSITIVE_INFINITY);
            this.#keep(socket, {
                head,
                serve: () => {
                    socket.off("data", refuseFurther);
                    serveAfterAll(chunk);
                },
                refuse,
            });
        });
        // The caller gives up, has read its refusal, or has closed its sending side only.
        socket.on("error", fail);
        socket.on("end", close);
        socket.resume();
    }

    /** Refuses the connections whose callers have sent nothing yet. */
    end(): void {
        this.#held.forEach((_held, socket) => this.#refuseHeld(socket, true));
        for (const socket of this.#open.keys()) {
            if (!socket.writableEnded) {
                this.#options.onRefused();
                socket.end(REFUSAL);
            }
        }
    }

    /** Closes all connections at once. */
    drop(): void {
        this.#open.forEach((_until, socket) => this.#close(socket));
    }

    #keep(socket: Socket, held: HeldConnection): void {
        this.#held.set(socket, held);
        this.#holdTimer ??= setInterval(() => this.#serveHeld(), HOLD_INTERVAL_MS);
    }

    #refuseHeld(socket: Socket, isWhole: boolean): void {
        const held = this.#held.get(socket);
        this.#held.delete(socket);
        held?.refuse(isWhole);
    }

    #serveHeld(): void {
        const { mayServeHeld, countHoldable } = this.#options;
        for (const [socket, { head, serve }] of this.#held) {
            if (!mayServeHeld(socket, head)) {
                break;
            }
            this.#held.delete(socket);
            serve();
        }
        // The last ones have waited least.
        const surplus = [...this.#held.keys()].slice(Math.ceil(countHoldable()));
        surplus.forEach(socket => this.#refuseHeld(socket, true));
        if (this.#held.size === 0) {
            clearInterval(this.#holdTimer);
            this.#holdTimer = undefined;
        }
    }

    #close(socket: Socket): void {
        this.#open.delete(socket);
        this.#held.delete(socket);
        socket.destroy();
    }

    #expire(): void {
        const now = performance.now();
        this.#open.forEach((until, socket) => {
            if (until > now) {
                return;
            }
            if (socket.writableEnded) {
                this.#close(socket);
                return;
            }
            // Its caller has sent nothing yet.
            this.#options.onRefused();
            socket.end(REFUSAL);
            this.#open.set(socket, now + LINGER_MS);
        });
        if (this.#open.size === 0) {
            clearInterval(this.#timer);
            this.#timer = undefined;
        }
    }
}
