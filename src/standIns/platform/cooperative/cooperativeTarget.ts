import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";

interface CooperativeTargetOptions {
    readonly id: string;
    readonly service: string;
    readonly dataCentre: string;
    readonly slots: number;
    /** Number of events of each stream, and the pause before each event in milliseconds. */
    readonly events: number;
    readonly eventMs: number;
    /** Whether a request that the target runs makes it crash after the pause before an event. */
    readonly isCrashedBy?: (arrival: TargetArrival) => boolean;
    /** Called with the body of the request that made the target crash. */
    readonly onCrash?: (body: string) => void;
}

interface TargetArrival {
    readonly requestId: string;
    readonly path: string;
    readonly headers: IncomingMessage["headers"];
    readonly body: string;
    readonly lastEventId: number;
    /** Monotonic time in milliseconds. */
    readonly at: number;
}

/**
 * - `cut`: the connection is closed in the middle of the response.
 * - `lost`: the request runs and the connection is reset instead of a response.
 * - `crossed`: the response carries the identifier of another request.
 * - `doubled`: a second response follows the first; streams are not affected.
 * - `unframed`: like `cut`, but a response that is no stream states no length.
 * - `full`: the request is refused and not run.
 * - `error`: the request runs and fails.
 * - `mute`: the request runs and gets no response at all.
 * - `stale`: the request runs, and the refusal of an earlier request is written instead of the response.
 * - `restarted`: a resumed stream begins with its first event.
 * - `empty`: a resumed stream is complete without any event.
 */
type TargetFault =
    | "none"
    | "cut"
    | "lost"
    | "crossed"
    | "doubled"
    | "unframed"
    | "full"
    | "error"
    | "mute"
    | "stale"
    | "restarted"
    | "empty";

/** Stand-in of a target of the cooperative: responds with its identity and injects faults on demand. */
export class CooperativeTarget {
    readonly #options: CooperativeTargetOptions;
    readonly #server: Server;
    readonly #arrivals: TargetArrival[] = [];
    readonly #attempts: number[] = [];
    #pickFault: () => TargetFault = () => "none";
    readonly #sockets = new Set<Socket>();
    #startedAtMs = 0;
    readonly #headers = new Map<string, readonly string[]>();

    private constructor(options: CooperativeTargetOptions) {
        this.#options = options;
        this.#server = createServer((request, response) => void this.#serve(request, response));
        this.#server.keepAliveTimeout = 60_000;
        this.#server.on("connection", socket => {
            this.#sockets.add(socket);
            socket.on("close", () => this.#sockets.delete(socket));
        });
    }

    /** Starts a target on a free port. */
    static async create(options: CooperativeTargetOptions): Promise<CooperativeTarget> {
        const target = new CooperativeTarget(options);
        await new Promise<void>(resolve => target.#server.listen(0, "127.0.0.1", resolve));
        target.#startedAtMs = Date.now();
        return target;
    }

    get id(): string {
        return this.#options.id;
    }

    /** False once the target has been closed or has crashed. */
    get isRunning(): boolean {
        return this.#server.listening;
    }

    get service(): string {
        return this.#options.service;
    }

    /** host:port. */
    get address(): string {
        return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
    }

    /** Requests that the target has run. */
    get arrivals(): readonly TargetArrival[] {
        return this.#arrivals;
    }

    /** Monotonic times in milliseconds of all requests, also of those that the target has refused. */
    get attempts(): readonly number[] {
        return this.#attempts;
    }

    /** Sets the function that picks the fault of each request. */
    setFault(pickFault: () => TargetFault): void {
        this.#pickFault = pickFault;
    }

    /** Sets the values of a header of all responses from now on; without values there is none. */
    setHeader(name: string, ...values: readonly string[]): void {
        this.#headers.set(name, values);
    }

    /** Returns the registration of the target in the store, with `address` (host:port) as its address. */
    describe(address: string, state: "ready" | "draining", sequence = 1): object {
        const { service, dataCentre, slots } = this.#options;
        return {
            service,
            address,
            zone: dataCentre,
            slots,
            state,
            coldRemainingMs: 0,
            version: "v1",
            sequence,
            born: this.#startedAtMs,
        };
    }

    /** Closes the target and its connections. */
    close(): void {
        this.#server.close();
        this.#server.closeAllConnections();
    }

    /** Ends the target as a crash does: its connections are reset, and its port refuses new ones. */
    kill(body = ""): void {
        if (!this.#server.listening) {
            return;
        }
        this.#server.close();
        this.#sockets.forEach(socket => socket.resetAndDestroy());
        this.#options.onCrash?.(body);
    }

    async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const chunks: Buffer[] = [];
        for await (const chunk of request) {
            chunks.push(chunk as Buffer);
        }
        const { headers } = request;
        const requestId = String(headers["request-id"]);
        if (headers["expect-instance"] !== this.#options.id) {
            response.writeHead(421, { "Instance-Id": this.#options.id, "Content-Length": "0" }).end();
            return;
        }
        this.#headers.forEach((values, name) => {
            if (values.length > 0) {
                response.setHeader(name, values);
            }
        });
        this.#attempts.push(performance.now());
        const fault = this.#pickFault();
        if (fault === "full") {
            response.writeHead(503, { "Request-Id": requestId, "Not-Executed": "1", "Content-Length": "0" })
                .end();
            return;
        }
        const lastEventId = Number(headers["last-event-id"] ?? 0);
        const body = Buffer.concat(chunks).toString();
        const path = request.url ?? "/";
        const arrival = { requestId, path, headers, body, lastEventId, at: performance.now() };
        this.#arrivals.push(arrival);
        if (this.#options.isCrashedBy?.(arrival)) {
            setTimeout(() => this.kill(body), this.#options.eventMs);
            return;
        }
        if (fault === "mute") {
            return;
        }
        if (fault === "stale") {
            response.writeHead(503, { "Request-Id": "earlier", "Not-Executed": "1", "Content-Length": "0" })
                .end();
            return;
        }
        if (fault === "lost") {
            request.socket.resetAndDestroy();
            return;
        }
        if (headers["token-usage"] === undefined) {
            this.#sendPlain(request, response, requestId, fault);
            return;
        }
        await this.#sendStream(request, response, requestId, lastEventId, fault);
    }

    #sendPlain(
        request: IncomingMessage,
        response: ServerResponse,
        requestId: string,
        fault: TargetFault,
    ): void {
        const responseId = fault === "crossed" ? "another" : requestId;
        const body = `answer to ${responseId}`;
        const headers = {
            "Request-Id": responseId,
            "Response-Signature": `${requestId}.${this.#options.id}`,
        };
        if (fault === "cut" || fault === "unframed") {
            const length = fault === "cut" ? `Content-Length: ${body.length}\r\n` : "";
            const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join("");
            request.socket.write(`HTTP/1.1 200 OK\r\n${lines}${length}\r\n${body.slice(0, 6)}`);
            request.socket.end();
            return;
        }
        response.writeHead(fault === "error" ? 500 : 200, {
            ...headers,
            "Content-Length": String(body.length),
        });
        response.end(body);
        if (fault === "doubled") {
            request.socket.write("HTTP/1.1 200 OK\r\nRequest-Id: stray\r\nContent-Length: 1\r\n\r\nx");
        }
    }

    async #sendStream(
        request: IncomingMessage,
        response: ServerResponse,
        requestId: string,
        lastEventId: number,
        fault: TargetFault,
    ): Promise<void> {
        const { events, eventMs, id } = this.#options;
        if (fault === "error") {
            response.writeHead(500, { "Request-Id": requestId, "Content-Length": "0" }).end();
            return;
        }
        const responseId = fault === "crossed" ? "another" : requestId;
        response.writeHead(200, {
            "Request-Id": responseId,
            "Response-Signature": `${requestId}.${id}`,
            "Content-Type": "text/event-stream",
        });
        const firstEvent = fault === "restarted" ? 1 : lastEventId + 1;
        const lastEvent = fault === "empty" && lastEventId > 0 ? 0 : events;
        for (let event = firstEvent; event <= lastEvent; event += 1) {
            await new Promise(resolve => setTimeout(resolve, eventMs));
            if (response.destroyed) {
                return;
            }
            if (event > events / 2 && (fault === "cut" || fault === "unframed")) {
                response.write(`id: ${event}\ndata: ${requestId}`);
                request.socket.end();
                return;
            }
            response.write(`id: ${event}\ndata: ${responseId} ${event}\n\n`);
        }
        response.end();
    }
}
