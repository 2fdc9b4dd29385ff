import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { sendJson } from "../../shared/sendJson.js";
import { computeEventId } from "./computeEventId.js";
import { CooperativeExchange } from "./cooperativeExchange.js";
import { isBreakingFault } from "./isBreakingFault.js";
import { Silence } from "./silence.js";
import type { TargetArrival } from "./targetArrival.js";
import type { TargetFault } from "./targetFault.js";
import type { TargetPace } from "./targetPace.js";

interface CooperativeTargetOptions {
    readonly id: string;
    readonly service: string;
    readonly dataCentre: string;
    readonly slots: number;
    /** Number of events of each stream, and the pause before each event in milliseconds. */
    readonly events: number;
    readonly eventMs: number;
    /** Software version, which the data of each event then names as a third word. @default "v1", in no event */
    readonly version?: string;
    /** Number of responses of which the last has neither a length nor chunks, again and again. @default all have one */
    readonly unframedEvery?: number;
    /** Whether a request that the target runs makes it crash after the pause before an event. */
    readonly isCrashedBy?: (arrival: TargetArrival) => boolean;
    /** Called with the body of the request that made the target crash. */
    readonly onCrash?: (body: string) => void;
}

const DEFAULT_VERSION = "v1";
const REFUSAL = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const REPORT_PATH = "/report";

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
    readonly #silence = Silence.create();
    #pace: TargetPace;
    #version: string;
    readonly #running = new Set<string>();
    readonly #brokenRequests = new Set<string>();
    /** Connections on which an extra refusal is due. */
    readonly #lateRefusals = new WeakSet<Socket>();

    private constructor(options: CooperativeTargetOptions) {
        this.#options = options;
        this.#pace = { headMs: 0, eventMs: options.eventMs };
        this.#version = options.version ?? DEFAULT_VERSION;
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

    /** Software version, which the registration names. */
    get version(): string {
        return this.#version;
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

    /** Number of requests whose responses are not complete. */
    get runningCount(): number {
        return this.#running.size;
    }

    /** Identifiers of the requests whose response the target has broken off or spoilt. */
    get brokenRequests(): ReadonlySet<string> {
        return this.#brokenRequests;
    }

    /** Writes nothing, or no events of streams, until a monotonic time in milliseconds; then goes on with everything. */
    pauseResponses(until: number, parts: "all" | "events" = "all"): void {
        this.#silence.pause(until, parts);
    }

    /** Sets the times that responses take from now on; without a value, those of the options. */
    setPace(pace: TargetPace = { headMs: 0, eventMs: this.#options.eventMs }): void {
        this.#pace = pace;
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
            version: this.version,
            sequence,
            born: this.#startedAtMs,
        };
    }

    /** Closes the target and its connections. */
    close(): void {
        this.#running.forEach(requestId => this.#brokenRequests.add(requestId));
        this.#server.close();
        this.#server.closeAllConnections();
    }

    /** Ends the target as a crash does: its connections are reset, and its port refuses new ones. */
    kill(body = ""): void {
        if (!this.#server.listening) {
            return;
        }
        this.#server.close();
        this.#abortRequests();
        this.#options.onCrash?.(body);
    }

    /** Ends as a crash does and starts again at once under the same identifier and address, with a software version. */
    startAgain(version: string): void {
        this.#abortRequests();
        this.#version = version;
        this.#startedAtMs = Date.now();
    }

    #abortRequests(): void {
        this.#running.forEach(requestId => this.#brokenRequests.add(requestId));
        this.#sockets.forEach(socket => socket.resetAndDestroy());
    }

    async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const chunks: Buffer[] = [];
        for await (const chunk of request) {
            chunks.push(chunk as Buffer);
        }
        const { id: targetId, events, unframedEvery = Number.POSITIVE_INFINITY } = this.#options;
        const { headers } = request;
        if (request.method === "GET" && request.url === REPORT_PATH) {
            await this.#silence.wait("head");
            sendJson(response, { stage: "mixed", sequence: 1, born: this.#startedAtMs });
            return;
        }
        const requestId = String(headers["request-id"]);
        const isMisdirected = headers["expect-instance"] !== targetId;
        const fault = isMisdirected ? "none" : this.#pickFault();
        const exchange = CooperativeExchange.create({
            request,
            response,
            requestId,
            targetId,
            fault,
            isFramed: (this.#attempts.length + 1) % unframedEvery !== 0,
            silence: this.#silence,
            pace: this.#pace,
        });
        if (isMisdirected) {
            await exchange.sendStatus(421, { "Instance-Id": targetId });
            return;
        }
        this.#headers.forEach((values, name) => {
            if (values.length > 0) {
                response.setHeader(name, values);
            }
        });
        this.#attempts.push(performance.now());
        if (this.#lateRefusals.delete(request.socket)) {
            request.socket.write(REFUSAL);
        }
        if (fault === "unidentified" || fault === "extra") {
            this.#lateRefusals.add(request.socket);
        }
        if (fault === "full" || fault === "unidentified") {
            const identifier = fault === "full" ? { "Request-Id": requestId } : {};
            await exchange.sendStatus(503, { ...identifier, "Not-Executed": "1" });
            return;
        }
        const body = Buffer.concat(chunks).toString();
        const path = request.url ?? "/";
        const lastEventId = findEvent(path, Number(headers["last-event-id"] ?? 0), events);
        const version = this.version;
        const arrival = {
            requestId,
            path,
            headers,
            body,
            lastEventId,
            version,
            fault,
            at: performance.now(),
        };
        this.#arrivals.push(arrival);
        this.#running.add(requestId);
        response.on("close", () => this.#running.delete(requestId));
        if (this.#options.isCrashedBy?.(arrival)) {
            setTimeout(() => this.kill(body), this.#options.eventMs);
            return;
        }
        if (isBreakingFault(fault)) {
            this.#brokenRequests.add(requestId);
        }
        if (fault === "mute") {
            return;
        }
        if (fault === "stale") {
            await exchange.sendStatus(503, { "Request-Id": "earlier", "Not-Executed": "1" });
            return;
        }
        if (fault === "lost") {
            await exchange.reset();
            return;
        }
        await (headers["token-usage"] === undefined
            ? exchange.sendPlain()
            : exchange.sendStream({
                lastEventId,
                events,
                version: this.#options.version === undefined ? undefined : version,
            }));
    }
}

/** Returns which event of a stream has an identifier; 0 if there is none. */
function findEvent(path: string, id: number, events: number): number {
    return Array.from({ length: events }, (_, i) => i + 1).find(event => computeEventId(path, event) === id)
        ?? 0;
}
