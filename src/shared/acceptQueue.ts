import { type AddressInfo, connect, type Server, type Socket } from "node:net";
import type { AcceptedConnection } from "./acceptedConnection.js";
import { isOwnConnection } from "./isOwnConnection.js";
import { QueueSeal } from "./queueSeal.js";

/** A queue that was emptied within this time needs no measurement. */
const BUSY_MS = 20;
const PROBE_INTERVAL_MS = 50;
/** A queue that brought nothing for this time, and in so many turns, is taken for empty if it cannot be sealed. */
const QUIET_MS = 50;
const QUIET_TURNS = 20;

interface AcceptQueueOptions {
    /** Number of accepted connections that may wait until they are read; each takes a descriptor. */
    readonly maxUnread: number;
    /** Called when a measurement fails. If absent, nothing is measured. */
    readonly onProbeFailed?: ((error: Error) => void) | undefined;
}

/** Connection of the process to itself that measures how long connections wait to be accepted. */
interface Probe {
    readonly socket: Socket;
    /** Monotonic time in milliseconds. */
    readonly startedAt: number;
}

/**
 * Queue of the operating system with the connections that a server has not accepted yet. Node.js accepts one connection a turn
 * of its event loop: if each turn also serves requests, a queue that fills as fast is never empty. The operating system does not
 * tell how long an accepted connection has waited, so that the process connects to itself while the queue is not empty.
 */
export class AcceptQueue {
    readonly #server: Server;
    readonly #maxUnread: number;
    readonly #onProbeFailed: ((error: Error) => void) | undefined;
    /** Connections that were accepted since `drain` began and are not read yet. */
    readonly #unread: AcceptedConnection[] = [];
    #accepted = 0;
    #isDraining = false;
    /** Set from the time at which a queue that is drained gets no more connections. */
    #seal: QueueSeal | undefined;
    /** Called for the next connection that is accepted. */
    #onAccepted: (() => void) | undefined;
    /** Monotonic time in milliseconds since which no turn has found the queue empty; `undefined` if the last one has. */
    #busySince: number | undefined;
    #probe: Probe | undefined;
    /** Monotonic time in milliseconds. */
    #nextProbeAt = 0;
    /** Time in milliseconds for which the last probe waited. */
    #lastWaitMs = 0;

    private constructor(server: Server, { maxUnread, onProbeFailed }: AcceptQueueOptions) {
        this.#server = server;
        this.#maxUnread = maxUnread;
        this.#onProbeFailed = onProbeFailed;
        server.once("close", () => this.#endProbe());
    }

    /** Follows the connections of a server that does not listen yet. */
    static create(server: Server, options: AcceptQueueOptions): AcceptQueue {
        return new AcceptQueue(server, options);
    }

    /** Time in milliseconds for which connections wait to be accepted, as measured last; zero while the queue is empty. */
    get waitMs(): number {
        const pendingMs = this.#probe ? performance.now() - this.#probe.startedAt : 0;
        return Math.max(this.#lastWaitMs, pendingMs);
    }

    /** True once the queue is being emptied for the end. */
    get isDraining(): boolean {
        return this.#isDraining;
    }

    /** Records a connection that has been accepted. Returns false for one that the process has opened itself. */
    add(connection: AcceptedConnection): boolean {
        this.#accepted += 1;
        this.#onAccepted?.();
        if (this.#seal?.drop(connection)) {
            return false;
        }
        if (this.#onProbeFailed && this.#busySince === undefined) {
            this.#busySince = performance.now();
            // The first of the two runs in this turn, the second one after the next look at the sockets.
            setImmediate(() => this.#watch());
        }
        if (this.#probe && isOwnConnection(connection, this.#probe.socket)) {
            this.#lastWaitMs = performance.now() - this.#probe.startedAt;
            this.#endProbe();
            connection.destroy();
            return false;
        }
        if (this.#isDraining && this.#unread.push(connection) >= this.#maxUnread) {
            this.#read();
        }
        return true;
    }

    /**
     * Waits until the queue of the operating system is empty and stays so; the server is to be closed at once then. Unless there
     * are too many, nothing is read from the connections that are accepted until `readAll`.
     *
     * @param until Monotonic time in milliseconds at which the wait ends in any case.
     */
    async drain(until: number): Promise<void> {
        this.#setPaused(true);
        this.#isDraining = true;
        // A queue that is never empty is sealed in the other half of the time.
        const sealAt = (performance.now() + until) / 2;
        while (await this.#hasAcceptedInTurn() && performance.now() < sealAt) {
            // What has been queued is accepted first.
        }
        this.#seal = QueueSeal.create(this.#server, error => this.#onProbeFailed?.(error));
        let quietAt = performance.now() + QUIET_MS;
        let quietTurns = 0;
        while (
            !await this.#seal.tryFill() && performance.now() < until
            && (performance.now() < quietAt || quietTurns < QUIET_TURNS)
        ) {
            quietTurns += 1;
            if (await this.#hasAcceptedInTurn()) {
                quietAt = performance.now() + QUIET_MS;
                quietTurns = 0;
            }
        }
    }

    /** Reads from the connections that have been accepted, once the server has been closed. */
    readAll(): void {
        this.#seal?.close();
        this.#isDraining = false;
        this.#setPaused(false);
        this.#read();
    }

    /** Resolves with whether a connection was accepted, at the latest after a turn of the event loop. */
    async #hasAcceptedInTurn(): Promise<boolean> {
        const accepted = this.#accepted;
        await new Promise<void>(resolve => {
            this.#onAccepted = resolve;
            // After an uncaught error the next turn may begin without a look at the sockets.
            setImmediate(() => setImmediate(resolve));
        });
        return this.#accepted !== accepted;
    }

    /** Looks each turn whether a connection was accepted in it, until none was. */
    #watch(): void {
        const accepted = this.#accepted;
        setImmediate(() => {
            if (this.#accepted === accepted) {
                this.#busySince = undefined;
                this.#lastWaitMs = 0;
                // A measurement that is not in the queue has been lost, or has just been started.
                this.#endProbe();
                return;
            }
            this.#startProbe();
            this.#watch();
        });
    }

    #startProbe(): void {
        const now = performance.now();
        const isBusy = this.#busySince !== undefined && now - this.#busySince >= BUSY_MS;
        if (!isBusy || this.#probe || now < this.#nextProbeAt || this.#isDraining) {
            return;
        }
        const address = this.#server.address() as AddressInfo | null;
        if (!address) {
            return;
        }
        this.#nextProbeAt = now + PROBE_INTERVAL_MS;
        const socket = connect(address.port, address.address);
        this.#probe = { socket, startedAt: now };
        // Without descriptors, or at the end of the server: the next measurement replaces this one.
        socket.on("error", error => {
            this.#onProbeFailed?.(error);
            this.#endProbe();
        });
    }

    #endProbe(): void {
        this.#probe?.socket.destroy();
        this.#probe = undefined;
    }

    #read(): void {
        this.#unread.splice(0).forEach(socket => socket.resume());
    }

    #setPaused(isPaused: boolean): void {
        // An option of `net.createServer` that `http.createServer` does not pass on.
        Object.assign(this.#server, { pauseOnConnect: isPaused });
    }
}
