import type { Agent, IncomingMessage } from "node:http";
import type { OutgoingRequest } from "./outgoingRequest.js";

/** One request to one target, and what is called with its response. */
export interface TargetExchangeOptions {
    /** host:port. */
    readonly address: string;
    readonly outgoing: OutgoingRequest;
    readonly agent: Agent;
    /** Called once the connection is there, before a byte of the request is written. */
    readonly onWritten?: () => void;
    readonly onHead: (response: IncomingMessage) => void;
    readonly onData: (chunk: Buffer) => void;
    readonly onEnd: () => void;
    /**
     * `isWritten` is false if no byte of the request can have reached the target. The reason is `CONNECT_TIMEOUT` if the target
     * has not taken the connection in time; it may be sound and take the next one.
     */
    readonly onFail: (reason: string, isWritten: boolean) => void;
}
