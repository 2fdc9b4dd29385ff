import type { Socket } from "node:net";
import type { AcceptQueue } from "./acceptQueue.js";
import type { OverloadGuard } from "./overloadGuard.js";

interface ConnectionAdmissionOptions {
    readonly queue: Pick<AcceptQueue, "waitMs">;
    readonly guard: Pick<
        OverloadGuard,
        | "isOverloaded"
        | "mayAccept"
        | "tryRefuse"
        | "maySpare"
        | "countHoldable"
        | "mayServeHeld"
        | "tryRelay"
        | "recordRefused"
        | "recordFailure"
        | "mayServe"
        | "recordRequest"
    >;
}

/**
 * Decides which connections and requests of callers are served while more come than the process can serve. A connection is decided
 * about as it is accepted, or by the client account of its first request; each further request is decided about on its own.
 */
export class ConnectionAdmission {
    readonly #queue: ConnectionAdmissionOptions["queue"];
    readonly #guard: ConnectionAdmissionOptions["guard"];
    /** Connections without a request yet, with the times in milliseconds that they waited to be accepted, or to be served if held. */
    readonly #acceptWaits = new WeakMap<Socket, number>();
    /** Monotonic times in milliseconds at which connections that were not served at once were accepted. */
    readonly #acceptedAt = new WeakMap<Socket, number>();
    /** Connections that are served although they were not at once; their first requests have been counted. */
    readonly #counted = new WeakSet<Socket>();

    private constructor({ queue, guard }: ConnectionAdmissionOptions) {
        this.#queue = queue;
        this.#guard = guard;
    }

    /** Creates an admission without connections. */
    static create(options: ConnectionAdmissionOptions): ConnectionAdmission {
        return new ConnectionAdmission(options);
    }

    /** True while callers are refused, and for a second afterwards. */
    get isOverloaded(): boolean {
        return this.#guard.isOverloaded;
    }

    /** Returns whether a connection that has been accepted is served, whoever its caller is. */
    mayServe(socket: Socket): boolean {
        this.#acceptWaits.set(socket, this.#queue.waitMs);
        const isServed = this.#guard.mayAccept();
        if (!isServed) {
            this.#acceptedAt.set(socket, performance.now());
        }
        return isServed;
    }

    /** Refuses a new connection by the account of its first request, unless it may be served, spared or held. Returns whether it is. */
    tryRefuse(account: string): boolean {
        return this.#guard.tryRefuse(account);
    }

    /** Returns whether another connection is served because its first request is one of an account that asks for little. */
    maySpare(socket: Socket, account: string): boolean {
        const isSpared = this.#guard.maySpare(account);
        if (isSpared) {
            this.#counted.add(socket);
        }
        return isSpared;
    }

    /** Returns how many connections may be held until they are served. */
    countHoldable(): number {
        return this.#guard.countHoldable();
    }

    /** Returns whether a connection that has been held may be served. */
    mayServeHeld(socket: Socket, account: string): boolean {
        const isServed = this.#guard.mayServeHeld(account);
        if (isServed) {
            const now = performance.now();
            const heldMs = now - (this.#acceptedAt.get(socket) ?? now);
            this.#acceptWaits.set(socket, (this.#acceptWaits.get(socket) ?? 0) + heldMs);
            this.#counted.add(socket);
        }
        return isServed;
    }

    /** Admits a new connection that another instance has room for, by the account of its first request; as `OverloadGuard` does. */
    tryRelay(account: string): ReturnType<OverloadGuard["tryRelay"]> {
        return this.#guard.tryRelay(account);
    }

    /** Records a connection that is refused. */
    recordRefused(): void {
        this.#guard.recordRefused();
    }

    /** Records that a refused connection, or a measurement of the queue, has failed. */
    recordFailure(error: Error): void {
        this.#guard.recordFailure(error);
    }

    /** Returns the time in milliseconds for which a connection waited to be served, until its first request is recorded. */
    getAcceptWaitMs(socket: Socket): number | undefined {
        return this.#acceptWaits.get(socket);
    }

    /**
     * Records a request whose head has been read. Returns whether it is served, as the first one of a served connection is.
     *
     * @param account Client account of the request; empty if it has none.
     */
    recordRequest(socket: Socket, account: string): boolean {
        if (!this.#acceptWaits.delete(socket)) {
            return this.#guard.mayServe(account);
        }
        if (!this.#counted.delete(socket)) {
            this.#guard.recordRequest(account);
        }
        return true;
    }
}
