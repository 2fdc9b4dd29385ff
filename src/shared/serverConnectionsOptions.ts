import type { Socket } from "node:net";
import type { ListenAddress } from "./listenAddress.js";

/** Decides which connections of a server are served. */
export interface ServerConnectionsOptions {
    /** Number of accepted connections that may wait until they are read. @default 256 */
    readonly maxUnread?: number;
    /** Number of connections that may be open until their callers have read a refusal. @default 256 */
    readonly maxRefused?: number;
    /** Returns whether a connection is served, whatever it sends. @default always true */
    readonly mayServe?: (socket: Socket) => boolean;
    /** Returns whether some connections are refused at present. @default always false */
    readonly mayRefuse?: () => boolean;
    /** Returns whether a connection is refused by the head of its first request; if not, it is decided about by the others. @default always false */
    readonly tryRefuse?: (head: string) => boolean;
    /** Returns whether another connection is served because of the head of its first request. @default always false */
    readonly maySpare?: (socket: Socket, head: string) => boolean;
    /** Returns how many connections may be held until they are served. @default always zero */
    readonly countHoldable?: () => number;
    /** Returns whether a connection that has been held is served now. @default always false */
    readonly mayServeHeld?: (socket: Socket, head: string) => boolean;
    /** Number of connections that may be relayed to other instances at a time. @default none */
    readonly maxRelayed?: number;
    /** Finds another instance that has room for a connection, by an address of its caller. @default always `undefined` */
    readonly findPeer?: (caller: string) => ListenAddress | undefined;
    /**
     * Returns a function if a connection that is not refused is relayed, by the head of its first request; it is told whether the other
     * instance has refused the request. @default always `undefined`
     */
    readonly tryRelay?: (head: string) => ((isRefused: boolean) => void) | undefined;
    /** Called for each connection that gets a refusal. */
    readonly onRefused?: () => void;
    /** Called when a refused connection, or a measurement of the queue, fails. If absent, the queue is not measured. */
    readonly onFailed?: (error: Error) => void;
}
