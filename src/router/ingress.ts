import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { RequestFingerprint } from "../core/routing/requestFingerprint.js";
import type { resolveRequest } from "../core/routing/resolveRequest.js";
import type { RouterConfiguration } from "../core/routing/routerConfiguration.js";
import { hashBytes } from "../shared/hashBytes.js";
import type { CallerExchange } from "./callerExchange.js";
import type { ErrorBoundary } from "./errorBoundary.js";
import type { LogSink } from "./logSink.js";
import type { RequestHead } from "./requestHead.js";
import type { WireFormat } from "./wireFormat.js";

interface IngressOptions {
    readonly host: string;
    readonly port: number;
    readonly wire: WireFormat;
    readonly log: LogSink;
    readonly errorBoundary: ErrorBoundary;
    /** Limit for the total size of all buffered request bodies, in bytes. */
    readonly maxBufferedBytes: number;
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
const PAYLOAD_TOO_LARGE = 413;
const SERVICE_UNAVAILABLE = 503;
const OVERLOAD_RETRY_AFTER_MS = 500;

/** Accepts callers' connections and reads their requests. */
export class Ingress {
    readonly #options: IngressOptions;
    readonly #server: Server;
    #bufferedBytes = 0;
    #openRequests = 0;

    private constructor(options: IngressOptions) {
        this.#options = options;
        this.#server = createServer({
            maxHeaderSize: MAX_HEADER_BYTES,
            keepAliveTimeout: DEFAULT_IDLE_MS + IDLE_MARGIN_MS,
            headersTimeout: DEFAULT_HEADERS_MS + HEADERS_MARGIN_MS,
            requestTimeout: 0,
            noDelay: true,
        }, (incoming, response) => this.#acceptGuarded(incoming, response));
        this.#server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
            // Undocumented, and only for the log: the response that is being sent on the connection.
            const { _httpMessage: outstanding } = socket as { readonly _httpMessage?: unknown; };
            options.log.write("caller-connection-failed", {
                reason: error.code ?? error.message,
                isAnswerOutstanding: Boolean(outstanding),
            });
            if (socket.writable && error.code !== "ECONNRESET") {
                socket.end("HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            socket.destroy();
        });
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
        return this.#openRequests;
    }

    /** Stops accepting connections and closes the idle ones. */
    close(): void {
        this.#server.close();
        this.#server.closeIdleConnections();
    }

    /** An unexpected error ends the request that caused it; nothing is claimed about whether it was executed. */
    #acceptGuarded(incoming: IncomingMessage, response: ServerResponse): void {
        const { errorBoundary } = this.#options;
        this.#openRequests += 1;
        response.on("close", () => {
            this.#openRequests -= 1;
        });
        errorBoundary.run(
            "request",
            () => this.#accept(incoming, response),
            () => this.#endAfterError(response, undefined),
        );
    }

    #endAfterError(response: ServerResponse, requestId: string | undefined): void {
        response.destroy();
        this.#options.log.write("request-ended", {
            request: requestId,
            outcome: "internal-error",
            ending: "closed",
        });
    }

    #accept(incoming: IncomingMessage, response: ServerResponse): void {
        const { wire, getNow, resolve, log, isStopping, onRefused } = this.#options;
        const receivedAt = getNow();
        const head = wire.readRequestHead(incoming);
        if (isStopping()) {
            response.shouldKeepAlive = false;
        }
        const resolved = resolve(head, incoming.url ?? "/", receivedAt);
        if (resolved.kind === "refused") {
            incoming.resume();
            log.write("request-refused", { request: head.requestId, ...resolved });
            onRefused(resolved.reason);
            this.#refuse(response, head, resolved.status, resolved.retryAfterMs);
            return;
        }
        this.#readBody(incoming, response, head, body => {
            const fingerprint = RequestFingerprint.create({
                method: incoming.method ?? "",
                host: head.host,
                path: incoming.url ?? "/",
                account: resolved.request.account,
                prompt: head.prompt,
                body,
                hashBytes,
            });
            const request = { ...resolved.request, fingerprint };
            this.#serveIfConnected({ incoming, response, head, request, body });
        });
    }

    #readBody(
        incoming: IncomingMessage,
        response: ServerResponse,
        head: RequestHead,
        onBody: (body: Buffer | undefined) => void,
    ): void {
        const chunks: Buffer[] = [];
        let length = 0;
        let isRefused = false;
        const hasBody = incoming.headers["content-length"] !== undefined
            || incoming.headers["transfer-encoding"] !== undefined;
        incoming.on("data", (chunk: Buffer) => {
            if (isRefused) {
                return;
            }
            length += chunk.length;
            this.#bufferedBytes += chunk.length;
            chunks.push(chunk);
            const isTooLarge = length > (this.#options.getLimits()?.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES);
            if (isTooLarge || this.#bufferedBytes > this.#options.maxBufferedBytes) {
                isRefused = true;
                chunks.length = 0;
                const status = isTooLarge ? PAYLOAD_TOO_LARGE : SERVICE_UNAVAILABLE;
                this.#options.log.write("request-refused", {
                    request: head.requestId,
                    status,
                    reason: isTooLarge ? "body-too-large" : "memory-limit",
                });
                this.#refuse(response, head, status, OVERLOAD_RETRY_AFTER_MS);
            }
        });
        incoming.on("end", () => {
            if (!isRefused) {
                onBody(hasBody ? Buffer.concat(chunks) : undefined);
            }
        });
        incoming.on("error", () => response.destroy());
        response.on("close", () => {
            this.#bufferedBytes -= length;
        });
    }

    /**
     * Serves a request after two turns of the event loop, unless its caller has disconnected. A process that was
     * suspended or has a long event loop delay reads requests whose callers have disconnected meanwhile; their closed
     * connections are noticed only in the turns after the one that read the request.
     */
    #serveIfConnected(exchange: CallerExchange): void {
        setImmediate(() =>
            setImmediate(() => {
                const { socket } = exchange.incoming;
                if (!exchange.response.destroyed && !socket.destroyed && !socket.readableEnded) {
                    const { errorBoundary, serve } = this.#options;
                    errorBoundary.run(
                        "request",
                        () => serve(exchange),
                        () => this.#endAfterError(exchange.response, exchange.request.requestId),
                    );
                    return;
                }
                this.#options.log.write("request-ended", {
                    request: exchange.request.requestId,
                    outcome: "caller-left-unserved",
                });
            })
        );
    }

    #refuse(
        response: ServerResponse,
        head: RequestHead,
        status: number,
        retryAfterMs: number | undefined,
    ): void {
        response.writeHead(status, {
            ...this.#options.wire.buildLocalResponseHeaders(head.requestId, retryAfterMs),
            "Content-Length": "0",
        });
        response.end();
    }
}
