import { createServer, type Server } from "node:http";
import type { computeServerLimits } from "../core/routing/computeServerLimits.js";
import type { EndPlan } from "../core/routing/endPlan.js";
import type { Locality } from "../core/routing/locality.js";
import { planEnd } from "../core/routing/planEnd.js";
import { createGuardedListener } from "../router/createGuardedListener.js";
import type { ErrorBoundary } from "../router/errorBoundary.js";
import type { RouterSettings } from "../router/routerSettings.js";
import { RoutePage } from "../shared/explain/routePage.js";
import { limitServer } from "../shared/limitServer.js";
import type { PortBinder } from "../shared/portBinder.js";
import { ServerConnections } from "../shared/serverConnections.js";

interface LookupServerOptions {
    readonly ports: PortBinder;
    readonly errorBoundary: Pick<ErrorBoundary, "run">;
    readonly directoryAddress: RouterSettings["callerAddress"];
    readonly readinessAddress: RouterSettings["callerAddress"];
    /** Numbers of connections that are served at once. */
    readonly limits: Pick<ReturnType<typeof computeServerLimits>, "lookups" | "checks">;
    readonly termSeconds: number;
    readonly listAddresses: (caller: Locality, callerHost: string) => readonly string[];
    readonly isReady: () => boolean;
    readonly renderMetrics: () => string;
    readonly routePage: RoutePage;
    /** Called for each response, also for one without addresses. */
    readonly onLookup: (dataCentre: string, callerHost: string, addresses: readonly string[]) => void;
}

/** Must match deploy/system.toml. */
const METRICS_PORT = 9464;
const NOT_FOUND = 404;
const SERVICE_UNAVAILABLE = 503;

/** Serves the address directory for callers, the platform's readiness checks and the metrics page. */
export class LookupServer {
    readonly #connections: readonly ServerConnections[];
    readonly #closed = new AbortController();

    private constructor(connections: readonly ServerConnections[]) {
        this.#connections = connections;
    }

    /**
     * Starts the servers.
     *
     * @throws PortError when the directory or the readiness address cannot be bound.
     */
    static async create(options: LookupServerOptions): Promise<LookupServer> {
        const { ports, directoryAddress, readinessAddress, limits } = options;
        const createGuarded = (source: string, handle: Parameters<typeof createGuardedListener>[2]): Server =>
            createServer(createGuardedListener(options.errorBoundary, source, handle));
        const directory = createGuarded("directory", (url, response, incoming) => {
            if (url.pathname !== "/lookup") {
                response.writeHead(NOT_FOUND).end();
                return;
            }
            const dataCentre = url.searchParams.get("zone") ?? "";
            const region = url.searchParams.get("region") ?? "";
            const callerHost = incoming.socket.remoteAddress ?? "";
            const addresses = options.listAddresses({ dataCentre, region }, callerHost);
            options.onLookup(dataCentre, callerHost, addresses);
            if (addresses.length === 0) {
                response.writeHead(SERVICE_UNAVAILABLE, { "Content-Length": "0" }).end();
                return;
            }
            const body = JSON.stringify({ addresses, ttlS: options.termSeconds });
            response.writeHead(200, {
                "Content-Type": "application/json",
                "Content-Length": String(Buffer.byteLength(body)),
            }).end(body);
        });
        const readiness = createGuarded("readiness", (_url, response) => {
            response.writeHead(options.isReady() ? 200 : SERVICE_UNAVAILABLE, { "Content-Length": "0" })
                .end();
        });
        const metrics = createGuarded("metrics", (url, response, incoming) => {
            if (url.pathname === RoutePage.path) {
                void options.routePage.serve(incoming, response);
                return;
            }
            const page = options.renderMetrics();
            response.writeHead(200, { "Content-Type": "text/plain; version=0.0.4" }).end(page);
        });
        const connections = [directory, readiness, metrics].map(server =>
            ServerConnections.create(
                server,
                limitServer(server, server === directory ? limits.lookups : limits.checks),
            )
        );
        const lookup = new LookupServer(connections);
        const metricsAddress = { host: readinessAddress.host, port: METRICS_PORT };
        // A taken port of the metrics page does not keep the router from serving requests.
        void ports.openOptionalServer("metrics", metrics, metricsAddress, lookup.#closed.signal);
        try {
            await ports.openServer("directory", directory, directoryAddress);
            await ports.openServer("readiness", readiness, readinessAddress);
        }
        catch (error) {
            const now = performance.now();
            await lookup.close(planEnd(now, now));
            throw error;
        }
        return lookup;
    }

    /** Closes the servers and their connections, after the responses that are due. */
    async close(plan: EndPlan): Promise<void> {
        this.#closed.abort();
        await Promise.all(this.#connections.map(connections => connections.close(plan)));
    }
}
