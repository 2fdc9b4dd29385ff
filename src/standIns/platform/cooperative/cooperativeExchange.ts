import type { IncomingMessage, ServerResponse } from "node:http";
import { computeEventId } from "./computeEventId.js";
import type { Silence } from "./silence.js";
import type { TargetFault } from "./targetFault.js";
import type { TargetPace } from "./targetPace.js";

interface ExchangeOptions {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly requestId: string;
    readonly targetId: string;
    readonly fault: TargetFault;
    /** False if the response has neither a length nor chunks, so that it ends with its connection. */
    readonly isFramed: boolean;
    readonly silence: Silence;
    readonly pace: TargetPace;
}

interface StreamOptions {
    /** Number of the last event that the caller has; 0 for a new stream. */
    readonly lastEventId: number;
    /** Number of events of the whole stream. */
    readonly events: number;
    /** Software version that the data of each event names; `undefined` if they name none. */
    readonly version: string | undefined;
}

/** Writes the response of a stand-in target to one request, with at most one fault. */
export class CooperativeExchange {
    readonly #options: ExchangeOptions;

    private constructor(options: ExchangeOptions) {
        this.#options = options;
    }

    /** Creates the exchange of a request that has been read whole. */
    static create(options: ExchangeOptions): CooperativeExchange {
        return new CooperativeExchange(options);
    }

    /** Sends a response without a body. */
    async sendStatus(status: number, headers: Readonly<Record<string, string>>): Promise<void> {
        await this.#options.silence.wait("head");
        this.#options.response.writeHead(status, { ...headers, "Content-Length": "0" }).end();
    }

    /** Resets the connection instead of a response. */
    async reset(): Promise<void> {
        await this.#options.silence.wait("head");
        this.#options.request.socket.resetAndDestroy();
    }

    /** Sends the response of a plain service. */
    async sendPlain(): Promise<void> {
        const { request, response, requestId, targetId, fault, isFramed } = this.#options;
        await this.#waitForHead();
        const responseId = fault === "crossed" ? "another" : requestId;
        const body = `answer to ${responseId}`;
        const headers = {
            "Request-Id": responseId,
            "Response-Signature": `${requestId}.${targetId}`,
        };
        if (fault === "cut" || fault === "unframed") {
            const length = fault === "cut" && isFramed ? `Content-Length: ${body.length}\r\n` : "";
            const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join("");
            request.socket.write(`HTTP/1.1 200 OK\r\n${lines}${length}\r\n${body.slice(0, 6)}`);
            if (fault === "cut" && !isFramed) {
                // An end in order would complete the response.
                request.socket.resetAndDestroy();
            }
            else {
                request.socket.end();
            }
            return;
        }
        this.#applyFraming();
        response.writeHead(fault === "error" ? 500 : 200, {
            ...headers,
            ...(isFramed ? { "Content-Length": String(body.length) } : {}),
        });
        response.end(body);
        // What follows a response without a length on its connection is a part of it.
        if (fault === "doubled" && isFramed) {
            request.socket.write("HTTP/1.1 200 OK\r\nRequest-Id: stray\r\nContent-Length: 1\r\n\r\nx");
        }
    }

    /** Sends the events of a stream that the caller does not have yet. */
    async sendStream({ lastEventId, events, version }: StreamOptions): Promise<void> {
        const { request, response, requestId, targetId, fault, silence, pace } = this.#options;
        await this.#waitForHead();
        if (fault === "error") {
            response.writeHead(500, { "Request-Id": requestId, "Content-Length": "0" }).end();
            return;
        }
        const responseId = fault === "crossed" ? "another" : requestId;
        this.#applyFraming();
        response.writeHead(200, {
            "Request-Id": responseId,
            "Response-Signature": `${requestId}.${targetId}`,
            "Content-Type": "text/event-stream",
        });
        // The head must not wait for the first event, which a silence may hold back.
        response.flushHeaders();
        const firstEvent = fault === "restarted" ? 1 : lastEventId + 1;
        const lastEvent = fault === "empty" && lastEventId > 0 ? 0 : events;
        for (let event = firstEvent; event <= lastEvent; event += 1) {
            await new Promise(resolve => setTimeout(resolve, pace.eventMs));
            await silence.wait("event");
            if (response.destroyed) {
                return;
            }
            const id = computeEventId(request.url ?? "/", event);
            if (event > events / 2 && (fault === "cut" || fault === "unframed")) {
                response.write(`id: ${id}\ndata: ${requestId}`);
                request.socket.end();
                return;
            }
            const suffix = version === undefined ? "" : ` ${version}`;
            response.write(`id: ${id}\ndata: ${responseId} ${event}${suffix}\n\n`);
        }
        await silence.wait("event");
        response.end();
    }

    #applyFraming(): void {
        const { response, isFramed } = this.#options;
        if (!isFramed) {
            response.useChunkedEncodingByDefault = false;
            response.shouldKeepAlive = false;
        }
    }

    async #waitForHead(): Promise<void> {
        const { silence, pace } = this.#options;
        if (pace.headMs > 0) {
            await new Promise(resolve => setTimeout(resolve, pace.headMs));
        }
        await silence.wait("head");
    }
}
