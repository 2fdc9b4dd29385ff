import type { Agent, IncomingMessage } from "node:http";
import type { OutgoingRequest } from "./outgoingRequest.js";

/** One request to one target, and what is called with its response. */
export interface TargetExchangeOptions {
    /** host:port. */
    readonly address: string;
    readonly outgoing: OutgoingRequest;
    /** `false` opens a dedicated connection for this request. */
    readonly agent: Agent | false;
    readonly onHead: (response: IncomingMessage) => void;
    readonly onData: (chunk: Buffer) => void;
    readonly onEnd: () => void;
    /** `isWritten` is false if no byte of the request can have reached the target. */
    readonly onFail: (reason: string, isWritten: boolean) => void;
}
