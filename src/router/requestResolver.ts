import { findStopRefusal } from "../core/routing/findStopRefusal.js";
import type { RequestAttributes } from "../core/routing/requestAttributes.js";
import { resolveRequest } from "../core/routing/resolveRequest.js";
import type { RoutedRequest } from "../core/routing/routedRequest.js";
import { RouteDurations } from "../core/routing/routeDurations.js";
import type { RouterConfiguration } from "../core/routing/routerConfiguration.js";
import type { ServiceScheduler } from "../core/routing/serviceScheduler.js";
import type { StopPlan } from "../core/routing/stopPlan.js";
import { computePosition } from "../shared/computePosition.js";
import type { DeploymentView } from "./deploymentView.js";
import type { LoadObserver } from "./loadObserver.js";
import type { RequestHead } from "./requestHead.js";
import type { ServicePool } from "./servicePool.js";

interface RequestResolverOptions {
    readonly view: Pick<DeploymentView, "configuration" | "hasHeardPeers" | "isFresh">;
    readonly servicePool: Pick<ServicePool, "find">;
    readonly loadObserver: Pick<LoadObserver, "loopDelayMs">;
    /** Returns `undefined` unless the process is stopping. */
    readonly getStopPlan: () => StopPlan | undefined;
}

/** Above this event loop delay streams are refused, because none would meet its latency objective. */
const MAX_LOOP_DELAY_MS = 200;
const SERVICE_UNAVAILABLE = 503;
/** Ends of requests that show what the requests of a route take, or that they take at least as long. */
const COMPLETED_OUTCOMES: ReadonlySet<string> = new Set(["served", "deadline-expired"]);

/** Decides by the headers of a request whether this instance serves it. */
export class RequestResolver {
    readonly #options: RequestResolverOptions;
    readonly #durations = RouteDurations.create();

    private constructor(options: RequestResolverOptions) {
        this.#options = options;
    }

    /** Creates a resolver. */
    static create(options: RequestResolverOptions): RequestResolver {
        return new RequestResolver(options);
    }

    /**
     * Finds the route and the client account of a request, or the reason why it is refused.
     *
     * @param receivedAt Monotonic time in milliseconds.
     */
    resolve(head: RequestHead, path: string, receivedAt: number): ReturnType<typeof resolveRequest> {
        const { servicePool } = this.#options;
        const resolved = this.explain(head, path, receivedAt, pickPosition(head));
        if (resolved.kind === "refused") {
            return resolved;
        }
        const { request } = resolved;
        // Refusing before the body is read keeps the cost of a flood by one account low.
        const retryAfterMs = servicePool.find(request.service)?.scheduler.findRetryDelay(request, receivedAt);
        if (retryAfterMs === undefined) {
            return resolved;
        }
        const { account } = request;
        return { kind: "refused", status: SERVICE_UNAVAILABLE, reason: "over-share", retryAfterMs, account };
    }

    /**
     * Finds what `resolve` does, before the share of the account is looked at; changes nothing.
     *
     * @param position Uniformly distributed in [0, 1); it picks the service of the route.
     */
    explain(
        attributes: RequestAttributes,
        path: string,
        receivedAt: number,
        position: number,
    ): ReturnType<typeof resolveRequest> {
        const { view, loadObserver, getStopPlan } = this.#options;
        return resolveRequest(attributes, path, {
            configuration: view.configuration,
            isFresh: view.isFresh(),
            isOverloaded: loadObserver.loopDelayMs > MAX_LOOP_DELAY_MS,
            stopPlan: getStopPlan(),
            estimateMs: request => this.#durations.estimate(request),
            receivedAt,
            random: position,
        });
    }

    /** Finds the scheduler of a service; `undefined` if no configuration has named it. */
    findScheduler(service: string): ServiceScheduler | undefined {
        return this.#options.servicePool.find(service)?.scheduler;
    }

    /** Configuration that requests are resolved with, and what this instance lacks to serve them. */
    get state(): {
        readonly configuration: RouterConfiguration | undefined;
        readonly notReady: readonly string[];
    } {
        const { view, getStopPlan } = this.#options;
        const { configuration } = view;
        const isStarting = !configuration || !view.hasHeardPeers;
        return {
            configuration,
            notReady: [
                ...(getStopPlan() ? ["stopping"] : []),
                ...(isStarting ? ["starting"] : []),
                ...(configuration ? [] : ["not-configured"]),
                ...(isStarting || view.isFresh() ? [] : ["configuration-stale"]),
            ],
        };
    }

    /** Returns why a request whose body has been read is not forwarded any more, or `undefined` if it is. */
    findStopRefusal(request: RoutedRequest, now: number): ReturnType<typeof findStopRefusal> {
        return findStopRefusal(request, this.#durations.estimate(request), this.#options.getStopPlan(), now);
    }

    /** Records the end of a request, `ms` milliseconds after it was received. */
    recordEnd(request: RoutedRequest, outcome: string, ms: number): void {
        if (COMPLETED_OUTCOMES.has(outcome)) {
            this.#durations.record(request, ms);
        }
    }
}

/** A stream that is taken up goes to the service that began it, as long as the route divides its requests in the same way. */
function pickPosition({ requestId, streamId, lastEventId }: RequestHead): number {
    const id = lastEventId === undefined ? requestId : streamId ?? requestId;
    return id === undefined ? Math.random() : computePosition(id);
}
