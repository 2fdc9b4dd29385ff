import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { planRequestEnd } from "../core/routing/planRequestEnd.js";
import type { resolveRequest } from "../core/routing/resolveRequest.js";
import type { RouterConfiguration } from "../core/routing/routerConfiguration.js";
import { abortResponse } from "../shared/abortResponse.js";
import { BodyReader } from "./bodyReader.js";
import { CallerByteLimit } from "./callerByteLimit.js";
import { CallerConnections } from "./callerConnections.js";
import type { CallerExchange } from "./callerExchange.js";
import { createFingerprint } from "./createFingerprint.js";
import { endResponse } from "./endResponse.js";
import type { ErrorBoundary } from "./errorBoundary.js";
import type { LogSink } from "./logSink.js";
import type { RequestHead } from "./requestHead.js";
import type { RequestMemory } from "./requestMemory.js";
import { UnreadResponses } from "./unreadResponses.js";
import type { WireFormat } from "./wireFormat.js";

interface IngressOptions {
    readonly host: string;
    readonly port: number;
    readonly wire: WireFormat;
    readonly log: LogSink;
    readonly errorBoundary: ErrorBoundary;
    readonly memory: RequestMemory;
    readonly getNow: () => number;
    /** Finds the route and client account of a request, or the reason why it is refused. */
    readonly resolve: (
        head: RequestHead,
        path: string,
        receivedAt: number,
    ) => ReturnType<typeof resolveRequest>;
    /** Size limits and timeouts for callers; `undefined` until a configuration is known. */
    readonly getLimits: () => RouterConfiguration["limits"] | undefined;
    readonly isStopping: () => boolean;
    readonly serve: (exchange: CallerExchange) => void;
    readonly onRefused: (reason: string) => void;
}

const MAX_HEADER_BYTES = 32_768;
/** Callers reuse idle connections for up to four fifths of the configured timeout; closing later avoids a race. */
const IDLE_MARGIN_MS = 5000;
const DEFAULT_IDLE_MS = 15_000;
/** Callers send their headers within the configured timeout, but a delayed event loop reads them later. */
const HEADERS_MARGIN_MS = 7000;
const DEFAULT_HEADERS_MS = 3000;
const DEFAULT_MAX_BODY_BYTES = 4_194_304;
/**
 * Connections that the operating system queues while the process is busy. Callers give up on a request that is not read
 * within a second, so a longer queue would hold only abandoned requests; callers whose connection is refused try
 * another instance.
 */
const LISTEN_BACKLOG = 64;
const RETRY_AFTER_MS = 500;
const BYTE_CHECK_INTERVAL_MS = 250;

/** Accepts callers' connections and reads their requests. */
export class Ingress {
    readonly #options: IngressOptions;
    readonly #server: Server;
    readonly #connections: CallerConnections;
    readonly #bodies: BodyReader;
    readonly #byteLimit: CallerByteLimit;
    readonly #unread: UnreadResponses;
    readonly #byteTimer: NodeJS.Timeout;
    /** Requests that are not being served yet, with their identifiers. */
    readonly #unserved = new Map<ServerResponse, string | undefined>();
    readonly #open = new Set<ServerResponse>();

    private constructor(options: IngressOptions) {
        this.#options = options;
        this.#server = createServer({
            maxHeaderSize: MAX_HEADER_BYTES,
            keepAliveTimeout: DEFAULT_IDLE_MS + IDLE_MARGIN_MS,
            headersTimeout: DEFAULT_HEADERS_MS + HEADERS_MARGIN_MS,
            requestTimeout: 0,
            noDelay: true,
        }, (incoming, response) => this.#acceptGuarded(incoming, response));
        this.#bodies = BodyReader.create({
            memory: options.memory,
            getNow: options.getNow,
            getMaxBodyBytes: () => options.getLimits()?.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES,
            onTooLarge: (response, cause) => this.#refuse(response, cause, cause, RETRY_AFTER_MS),
            onLate: response => this.#refuse(response, "read-too-late", "read-too-late", undefined),
            runGuarded: (response, handler) => this.#runGuarded(response, handler),
        });
        this.#connections = CallerConnections.create({
            onUnreadable: (response, cause) => this.#refuse(response, cause, cause, undefined),
            onFailure: (reason, dueResponses) =>
                options.log.write("caller-connection-failed", { reason, dueResponses }),
        });
        this.#byteLimit = CallerByteLimit.create({
            getMaxBodyBytes: () => options.getLimits()?.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES,
            onExceeded: () => options.log.write("caller-connection-failed", { reason: "bytes-without-end" }),
        });
        this.#unread = UnreadResponses.create(options);
        this.#byteTimer = setInterval(() => {
            this.#byteLimit.check();
            this.#unread.check();
        }, BYTE_CHECK_INTERVAL_MS);
        this.#server.on("connection", socket => this.#byteLimit.add(socket));
        this.#server.on("clientError", (error, socket) => this.#connections.end(error, socket));
    }

    /**
     * Starts listening.
     *
     * @throws Error when the address cannot be bound.
     */
    static async create(options: IngressOptions): Promise<Ingress> {
        const ingress = new Ingress(options);
        await new Promise<void>((resolve, reject) => {
            ingress.#server.once("error", reject);
            ingress.#server.listen(
                { host: options.host, port: options.port, backlog: LISTEN_BACKLOG },
                resolve,
            );
        });
        return ingress;
    }

    /** Applies the timeouts of a new configuration. */
    applyLimits(limits: RouterConfiguration["limits"]): void {
        this.#server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
        this.#server.headersTimeout = limits.headerTimeoutMs + HEADERS_MARGIN_MS;
    }

    /** Requests that are being read or served. */
    get openRequests(): number {
        return this.#open.size;
    }

    /** Stops accepting connections and closes the idle ones. */
    close(): void {
        clearInterval(this.#byteTimer);
        this.#server.close();
        this.#server.closeIdleConnections();
    }

    /**
     * Refuses a request that was read and cannot be served, as not executed.
     *
     * @param retryAfterMs Time in milliseconds after which it may come back; `undefined` if that would not help.
     */
    refuse({ response }: CallerExchange, reason: string, retryAfterMs: number | undefined): void {
        this.#refuse(response, "no-target", reason, retryAfterMs);
    }

    /** Records that a request is being served, so that its end is decided elsewhere. */
    recordServed({ response }: CallerExchange): void {
        this.#unserved.delete(response);
    }

    /** Returns whether a request has neither been served nor refused, and its caller still waits. */
    isOpen(exchange: CallerExchange): boolean {
        return this.#unserved.has(exchange.response) && !CallerConnections.isClosed(exchange);
    }

    /** Runs a handler of a request that is not being served; an unexpected error in it ends the request. */
    runGuarded({ response }: CallerExchange, handler: () => void): void {
        this.#runGuarded(response, handler);
    }

    /** Refuses the requests that are not being served yet, because the instance stops. */
    refuseUnserved(): void {
        for (const response of this.#unserved.keys()) {
            this.#refuse(response, "stopping", "stopping", RETRY_AFTER_MS);
        }
    }

    /** Closes the connections of the requests that are still open, because the process ends. */
    abortOpenRequests(): void {
        this.#open.forEach(abortResponse);
    }

    /** Runs a handler of a request that is not being served; an unexpected error in it ends the request. */
    #runGuarded(response: ServerResponse, handler: () => void): void {
        const refuse = (): void => this.#refuse(response, "internal-error", "internal-error", RETRY_AFTER_MS);
        const { errorBoundary } = this.#options;
        errorBoundary.run(
            "request",
            handler,
            () => errorBoundary.run("request", refuse, () => abortResponse(response)),
        );
    }

    #acceptGuarded(incoming: IncomingMessage, response: ServerResponse): void {
        this.#open.add(response);
        this.#byteLimit.recordRequest(incoming.socket);
        this.#connections.add(incoming, response);
        response.on("close", () => {
            this.#open.delete(response);
            if (this.#unserved.has(response)) {
                const request = this.#unserved.get(response);
                const outcome = "caller-left-unserved";
                this.#options.log.write("request-ended", { request, outcome, ending: "left" });
                this.#unserved.delete(response);
            }
        });
        this.#runGuarded(response, () => this.#accept(incoming, response));
    }

    #accept(incoming: IncomingMessage, response: ServerResponse): void {
        const { wire, getNow, resolve, isStopping } = this.#options;
        const receivedAt = getNow();
        const head = wire.readRequestHead(incoming);
        this.#unserved.set(response, head.requestId);
        if (isStopping()) {
            response.shouldKeepAlive = false;
        }
        const resolved = resolve(head, incoming.url ?? "/", receivedAt);
        if (resolved.kind === "refused") {
            this.#bodies.skip(incoming);
            const { status, reason, retryAfterMs, account } = resolved;
            this.#refuse(response, status, reason, retryAfterMs, account);
            return;
        }
        this.#unread.add(response, resolved.request.deadline);
        this.#bodies.read(incoming, response, resolved.request.deadline, body => {
            const fingerprint = createFingerprint(incoming, head, resolved.request.account, body);
            const request = { ...resolved.request, fingerprint };
            this.#serveInTurn({ incoming, response, head, request, body });
        });
    }

    /** Serves a request in its turn on its connection, unless its caller has disconnected or its time is up by then. */
    #serveInTurn(exchange: CallerExchange): void {
        const serve = (hasWaited: boolean): void => {
            if (!this.isOpen(exchange)) {
                return;
            }
            if (hasWaited && this.#options.getNow() >= exchange.request.deadline) {
                this.refuse(exchange, "deadline-expired", RETRY_AFTER_MS);
                return;
            }
            this.#options.serve(exchange);
        };
        this.#connections.runInTurn(
            exchange,
            hasWaited => this.runGuarded(exchange, () => serve(hasWaited)),
        );
    }

    /** Ends a request that no target has got. */
    #refuse(
        response: ServerResponse,
        cause: Parameters<typeof planRequestEnd>[0]["cause"],
        reason: string,
        retryAfterMs: number | undefined,
        account?: string,
    ): void {
        const requestId = this.#unserved.get(response);
        const isStarted = response.headersSent;
        const end = planRequestEnd({ cause, isStarted, mayHaveRun: false, retryAfterMs });
        const status = end.kind === "respond" ? end.status : undefined;
        this.#options.log.write("request-refused", {
            request: requestId,
            status,
            reason,
            retryAfterMs,
            account,
        });
        this.#options.onRefused(reason);
        this.#unserved.delete(response);
        endResponse(response, this.#options.wire, requestId, end);
    }
}
