import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { AcceptQueue } from "../shared/acceptQueue.js";
import { ConnectionAdmission } from "../shared/connectionAdmission.js";
import { OverloadGuard } from "../shared/overloadGuard.js";
import { CallerLimits } from "./callerLimits.js";

type LimitOptions = Parameters<typeof CallerLimits.create>[0];

interface CallerAdmissionOptions extends LimitOptions {
    readonly queue: Pick<AcceptQueue, "waitMs">;
    /** Counts the requests that are being read or served. */
    readonly countActive: () => number;
    /** Counts the connections that are held until they may be served. */
    readonly countHeld: () => number;
    /** Returns whether another instance has room for connections. @default always false */
    readonly hasPeer?: () => boolean;
    readonly onRefused: (reason: string) => void;
}

/** Decides whether callers' connections, and later requests on them, are served, within the limits of the instance. */
export class CallerAdmission {
    readonly #options: CallerAdmissionOptions;
    readonly #connections: ConnectionAdmission;
    readonly #limits: CallerLimits;

    private constructor(options: CallerAdmissionOptions) {
        this.#options = options;
        this.#limits = CallerLimits.create(options);
        const guard = OverloadGuard.create({
            ...options,
            onReport: report => options.log.write("overload", report),
        });
        this.#connections = ConnectionAdmission.create({ ...options, guard });
    }

    /** Creates an admission that refuses nothing. */
    static create(options: CallerAdmissionOptions): CallerAdmission {
        return new CallerAdmission(options);
    }

    /** True while some callers are refused because more come than this instance may or can serve. */
    get isBusy(): boolean {
        return this.#limits.connections.isReached || this.#connections.isOverloaded;
    }

    /** Number of open connections that are served or beyond the connection limit; those refused in an overload do not count. */
    get openConnections(): number {
        return this.#limits.connections.openConnections;
    }

    /** Time in milliseconds for which connections wait to be accepted. */
    get acceptWaitMs(): number {
        return this.#options.queue.waitMs;
    }

    /** Returns whether a connection that has been accepted is served, whoever its caller is. */
    mayServe(socket: Socket): boolean {
        const isServed = this.#connections.mayServe(socket);
        if (isServed) {
            this.#limits.add(socket);
        }
        return isServed;
    }

    /** True while some connections are refused, and for a second afterwards. */
    get isOverloaded(): boolean {
        return this.#connections.isOverloaded;
    }

    /** Refuses a new connection by the account of its first request, unless it may be served, spared or held. Returns whether it is. */
    tryRefuse(account: string): boolean {
        return this.#connections.tryRefuse(account);
    }

    /** Returns whether another connection is served because its first request is one of an account that asks for little. */
    maySpare(socket: Socket, account: string): boolean {
        const isSpared = this.#connections.maySpare(socket, account);
        if (isSpared) {
            this.#limits.add(socket);
        }
        return isSpared;
    }

    /** Returns how many connections may be held until they are served. */
    countHoldable(): number {
        return this.#connections.countHoldable();
    }

    /** Returns whether a connection that has been held is served. */
    mayServeHeld(socket: Socket, account: string): boolean {
        const isServed = this.#connections.mayServeHeld(socket, account);
        if (isServed) {
            this.#limits.add(socket);
        }
        return isServed;
    }

    /** Admits a new connection that another instance has room for, by the account of its first request; as `OverloadGuard` does. */
    tryRelay(account: string): ReturnType<OverloadGuard["tryRelay"]> {
        return this.#limits.connections.isReached ? undefined : this.#connections.tryRelay(account);
    }

    /** Records a connection that is refused. */
    recordRefused(): void {
        this.#connections.recordRefused();
        this.#options.onRefused("overloaded");
    }

    /** Records that a refused connection, or a measurement of the queue, has failed. */
    recordFailure(error: Error): void {
        this.#connections.recordFailure(error);
    }

    /** Returns the time in milliseconds for which a connection waited to be accepted, until its first request is recorded. */
    getAcceptWaitMs(socket: Socket): number | undefined {
        return this.#connections.getAcceptWaitMs(socket);
    }

    /**
     * Records a request whose head has been read. Returns why it is refused, or `undefined` if it is served.
     *
     * @param account Client account of the request; empty if it has none.
     */
    recordRequest(socket: Socket, account: string): "connection-limit" | "overloaded" | undefined {
        if (!this.#limits.recordRequest(socket)) {
            return "connection-limit";
        }
        return this.#connections.recordRequest(socket, account) ? undefined : "overloaded";
    }

    /** Adds the response that is due for a request with a deadline in monotonic milliseconds. */
    addDue(response: ServerResponse, deadline: number): void {
        this.#limits.addDue(response, deadline);
    }

    /** Stops checking; connections close elsewhere. */
    close(): void {
        this.#limits.close();
    }
}
