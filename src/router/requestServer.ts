import type { ActiveRequests } from "./activeRequests.js";
import type { CallerExchange } from "./callerExchange.js";
import type { Ingress } from "./ingress.js";
import { RequestForwarder } from "./requestForwarder.js";
import type { RequestForwarderOptions } from "./requestForwarderOptions.js";
import type { RequestResolver } from "./requestResolver.js";
import { resumeStream } from "./resumeStream.js";
import type { RouterMetrics } from "./routerMetrics.js";
import type { RoutingState } from "./routingState.js";
import type { ServicePool } from "./servicePool.js";

type SharedForwarderOptions = Omit<
    RequestForwarderOptions,
    "exchange" | "scheduler" | "retryBudget" | "onEnd" | keyof RoutingState
>;

interface RequestServerOptions extends SharedForwarderOptions {
    readonly state: RoutingState;
    readonly servicePool: ServicePool;
    readonly resolver: RequestResolver;
    readonly activeRequests: ActiveRequests;
    readonly metrics: RouterMetrics;
    readonly getIngress: () => Ingress | undefined;
}

/** The next configuration may bring a service that a route names without one. */
const NO_SERVICE_RETRY_MS = 500;

/** Serves requests that have been read, each with a forwarder, or refuses them. */
export class RequestServer {
    readonly #options: RequestServerOptions;

    private constructor(options: RequestServerOptions) {
        this.#options = options;
    }

    /** Creates a server without requests. */
    static create(options: RequestServerOptions): RequestServer {
        return new RequestServer(options);
    }

    /** Serves a request; one that takes a stream up, once it is known where the stream began. */
    serve(received: CallerExchange): void {
        const bodyBytes = received.body?.length ?? 0;
        const exchange = { ...received, request: { ...received.request, bodyBytes } };
        if (exchange.request.resumesAfter === undefined) {
            this.#forward(exchange);
            return;
        }
        const { state: { streamOrigins }, getIngress } = this.#options;
        resumeStream(exchange, {
            streamOrigins,
            ingress: getIngress(),
            forward: resumed => this.#forward(resumed),
        });
    }

    #forward(exchange: CallerExchange): void {
        const { state, servicePool, resolver, activeRequests, metrics, getNow, getIngress } = this.#options;
        const { request } = exchange;
        const refusal = resolver.findStopRefusal(request, getNow());
        if (refusal) {
            getIngress()?.refuse(exchange, refusal.reason, refusal.retryAfterMs);
            return;
        }
        const service = servicePool.find(request.service);
        if (!service) {
            getIngress()?.refuse(exchange, "no-service", NO_SERVICE_RETRY_MS);
            return;
        }
        service.retryBudget.addRequest(getNow());
        const forwarder: RequestForwarder = RequestForwarder.create({
            ...this.#options,
            exchange,
            ...service,
            ...state,
            onEnd: (outcome, ms) => {
                activeRequests.delete(forwarder);
                resolver.recordEnd(request, outcome, ms);
                metrics.countEnd(request.route.kind, outcome, ms);
            },
        });
        activeRequests.add(forwarder);
        getIngress()?.recordServed(exchange);
        forwarder.start();
    }
}
