import type { IncomingMessage } from "node:http";
import type { AnswerFacts } from "./answerFacts.js";
import type { RequestFacts } from "./requestFacts.js";

interface TargetHeaderValues {
    readonly facts: RequestFacts;
    /** Client account of the caller's key; empty on public routes. */
    readonly account: string;
    readonly targetId: string;
    /** Address of a target from which shared parts of the prompt can be taken. */
    readonly promptSource: string | undefined;
    /** Time that is left for the answer, in milliseconds. */
    readonly patienceMs: number;
    readonly bodyLength: number | undefined;
    /** Identifier of the last event that the caller has, if the stream goes on after it. */
    readonly lastEventId: string | undefined;
}

/** Names of headers on the wire, which differ between platforms. */
export interface WireFormat {
    readRequest(incoming: IncomingMessage): RequestFacts;
    buildTargetHeaders(values: TargetHeaderValues): string[];
    readAnswer(answer: IncomingMessage): AnswerFacts;
    /** Headers of an answer that the router gives itself. */
    buildOwnHeaders(requestId: string | undefined, retryAfterMs: number | undefined): Record<string, string>;
}
