import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { Decision } from "../../core/explain/decision.js";
import type { StatusReport } from "../../core/explain/statusReport.js";
import { RoutePage } from "../../shared/explain/routePage.js";
import { limitServer } from "../../shared/limitServer.js";
import { parseListenAddress } from "../../shared/parseListenAddress.js";
import type { PortBinder } from "../../shared/portBinder.js";
import { ServerConnections } from "../../shared/serverConnections.js";

interface OperatorServerOptions {
    /** host:port; port 0 takes a free port. */
    readonly address: string;
    readonly ports: Pick<PortBinder, "openServer">;
    /** Number of connections that are served at once. */
    readonly maxConnections: number;
    readonly instance: string;
    /** Renders the metrics in the Prometheus text format. */
    readonly renderMetrics: () => Promise<string>;
    readonly getStatus: () => StatusReport;
    readonly explainRequest: (requestId: string) => readonly Decision[];
    readonly explainAccount: (account: string, limit: number) => readonly Decision[];
    readonly routePage: RoutePage;
    readonly onError: (error: unknown) => void;
}

interface Page {
    readonly status: number;
    readonly contentType: string;
    readonly body: string;
}

const MAX_ACCOUNT_DECISIONS = 200;
/** Time for requests on connections that were accepted a moment ago to arrive. */
const LAST_ANSWERS_MS = 100;
const CLOSE_TIMEOUT_MS = 500;

/** Serves operators over HTTP; all routes are read-only. */
export class OperatorServer {
    readonly #options: OperatorServerOptions;
    readonly #server: Server;
    readonly #connections: ServerConnections;

    private constructor(options: OperatorServerOptions) {
        this.#options = options;
        this.#server = createServer((incoming, response) => void this.#serve(incoming, response));
        this.#connections = ServerConnections.create(
            this.#server,
            limitServer(this.#server, options.maxConnections),
        );
    }

    /**
     * Starts listening and returns the server.
     *
     * @throws PortError when the address cannot be bound.
     */
    static async create(options: OperatorServerOptions): Promise<OperatorServer> {
        const server = new OperatorServer(options);
        await options.ports.openServer("operators", server.#server, parseListenAddress(options.address));
        return server;
    }

    /** Address that the server listens on, host:port. */
    get address(): string {
        const { address, port } = this.#server.address() as AddressInfo;
        return `${address}:${port}`;
    }

    /** Stops listening, and closes the connections after the responses that are due. */
    async close(): Promise<void> {
        const now = performance.now();
        await this.#connections.close({ answerBy: now + LAST_ANSWERS_MS, closeBy: now + CLOSE_TIMEOUT_MS });
    }

    async #serve(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
        if (incoming.url?.split("?", 1)[0] === RoutePage.path) {
            await this.#options.routePage.serve(incoming, response);
            return;
        }
        incoming.resume();
        const page = await this.#route(incoming).catch((error: unknown) => {
            this.#options.onError(error);
            return buildProblem(500, "internal-error", "The page could not be built.");
        });
        response.writeHead(page.status, { "content-type": page.contentType });
        response.end(incoming.method === "HEAD" ? undefined : page.body);
    }

    async #route(incoming: IncomingMessage): Promise<Page> {
        if (incoming.method !== "GET" && incoming.method !== "HEAD") {
            return buildProblem(405, "method-not-allowed", "Operator routes only read.");
        }
        const path = (incoming.url ?? "/").split("?")[0] ?? "/";
        switch (path) {
            case "/metrics":
                return {
                    status: 200,
                    contentType: "text/plain; version=0.0.4; charset=utf-8",
                    body: await this.#options.renderMetrics(),
                };
            case "/healthz":
                return buildJson(200, { instance: this.#options.instance });
            case "/readyz": {
                const { notReady } = this.#options.getStatus();
                return buildJson(notReady.length === 0 ? 200 : 503, { notReady });
            }
            case "/v1/status":
                return buildJson(200, this.#options.getStatus());
            default:
                return this.#routeExplanation(path);
        }
    }

    #routeExplanation(path: string): Page {
        const [, kind, encoded] = /^\/v1\/explain\/(requests|accounts)\/([^/]+)$/.exec(path) ?? [];
        const name = tryDecode(encoded);
        if (name === undefined) {
            return buildProblem(404, "unknown-route", "There is no such page.");
        }
        const decisions = kind === "requests"
            ? this.#options.explainRequest(name)
            : this.#options.explainAccount(name, MAX_ACCOUNT_DECISIONS);
        return buildJson(200, { instance: this.#options.instance, decisions });
    }
}

function tryDecode(text: string | undefined): string | undefined {
    try {
        return text === undefined ? undefined : decodeURIComponent(text);
    }
    catch {
        return undefined;
    }
}

function buildJson(status: number, value: unknown): Page {
    return { status, contentType: "application/json", body: JSON.stringify(value) };
}

function buildProblem(status: number, code: string, title: string): Page {
    return {
        status,
        contentType: "application/problem+json",
        body: JSON.stringify({ type: "about:blank", title, status, code }),
    };
}
