import { describeService } from "../../core/explain/route/describeService.js";
import type { RouteExplanation } from "../../core/explain/route/routeExplanation.js";
import type { RouteQuery } from "../../core/explain/route/routeQuery.js";
import type { ServiceExplanation } from "../../core/explain/route/serviceExplanation.js";
import { findRoute } from "../../core/routing/findRoute.js";
import type { RequestAttributes } from "../../core/routing/requestAttributes.js";
import type { RoutedRequest } from "../../core/routing/routedRequest.js";
import type { RouterConfiguration } from "../../core/routing/routerConfiguration.js";
import type { RouteRule } from "../../core/routing/routeRule.js";
import { computePosition } from "../../shared/computePosition.js";
import type { RequestResolver } from "../requestResolver.js";
import type { RouterSettings } from "../routerSettings.js";

interface RouteExplainerOptions {
    readonly settings: Pick<RouterSettings, "instance" | "locality" | "regionsByDataCentre">;
    readonly resolver: Pick<RequestResolver, "explain" | "findScheduler" | "state">;
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
}

const UNAUTHORIZED = 401;

/** Explains where this instance would send a request now, with the code that decides on callers' requests. */
export class RouteExplainer {
    readonly #options: RouteExplainerOptions;

    private constructor(options: RouteExplainerOptions) {
        this.#options = options;
    }

    /** Creates an explainer. */
    static create(options: RouteExplainerOptions): RouteExplainer {
        return new RouteExplainer(options);
    }

    /** Explains a request; changes nothing. */
    explain(query: RouteQuery): RouteExplanation {
        const { settings, resolver, getNow } = this.#options;
        const { configuration, notReady } = resolver.state;
        const now = getNow();
        const route = configuration && findRoute(configuration, query.host, query.path);
        const attributes = buildAttributes(query, findKey(query, configuration));
        const common = {
            instance: settings.instance,
            dataCentre: settings.locality.dataCentre,
            notReady,
            route: route && describeRoute(route),
        };
        const positions = listPositions(route, query.requestId);
        const resolutions = positions.map(({ position, part }) => ({
            part,
            resolved: resolver.explain(attributes, query.path, now, position),
        }));
        const accepted = resolutions.flatMap(({ part, resolved }) =>
            resolved.kind === "accepted" ? [{ part, request: resolved.request }] : []
        );
        return {
            ...common,
            account: accepted[0]?.request.account,
            refusal:
                resolutions.flatMap(({ resolved }) =>
                    resolved.kind === "refused" ? [describeRefusal(resolved, query)] : []
                )[0],
            services: accepted.map(({ part, request }) => this.#explainService(request, part, now)),
        };
    }

    #explainService(
        request: RoutedRequest,
        part: number,
        now: number,
    ): ServiceExplanation {
        const { settings, resolver } = this.#options;
        const { service } = request;
        const scheduler = resolver.findScheduler(service);
        if (!scheduler) {
            return {
                service,
                part,
                share: { status: "unknown" },
                outcome: { kind: "refusal", reason: "no-service" },
                candidates: [],
                leftOut: [],
                omitted: 0,
                leavesDataCentre: undefined,
                leavesRegion: undefined,
            };
        }
        const explanation = scheduler.explainer.explain(request, now);
        return describeService(explanation, { ...settings, service, part });
    }
}

/** Returns any key of a named account, which stands for the account within this process. */
function findKey(
    { account, key }: RouteQuery,
    configuration: RouterConfiguration | undefined,
): string | undefined {
    return account === undefined
        ? key
        : [...configuration?.accountsByKey ?? []].find(([, { name }]) => name === account)?.[0];
}

function buildAttributes(query: RouteQuery, key: string | undefined): RequestAttributes {
    const { host, requestId, prompt, outputTokens } = query;
    return {
        requestId,
        host,
        patienceMs: undefined,
        key,
        promptTokens: query.promptTokens ?? prompt.reduce((sum, { tokens }) => sum + tokens, 0),
        outputTokens,
        prompt,
        lastEventId: undefined,
        streamId: undefined,
    };
}

/** Lists a position of each service of a route, or the one of the request, and the part of the requests that it stands for. */
function listPositions(
    route: RouteRule | undefined,
    requestId: string | undefined,
): readonly { readonly position: number; readonly part: number; }[] {
    if (requestId !== undefined) {
        return [{ position: computePosition(requestId), part: 1 }];
    }
    const backends = (route?.backends ?? []).filter(({ weight }) => weight > 0);
    if (backends.length === 0) {
        return [{ position: 0, part: 1 }];
    }
    const total = backends.reduce((sum, { weight }) => sum + weight, 0);
    let before = 0;
    return backends.map(({ weight }) => {
        const position = (before + weight / 2) / total;
        before += weight;
        return { position, part: weight / total };
    });
}

function describeRefusal(
    { status, reason, retryAfterMs }: Extract<ReturnType<RequestResolver["explain"]>, { kind: "refused"; }>,
    { account }: RouteQuery,
): RouteExplanation["refusal"] {
    const isUnnamed = status === UNAUTHORIZED && account !== undefined;
    return { status, reason: isUnnamed ? "unknown-account" : reason, retryAfterMs };
}

function describeRoute(route: RouteRule): RouteExplanation["route"] {
    const { name, host, pathPrefix, kind, timeoutMs, objectiveMs, maxAttempts, isPublic, regions } = route;
    return { name, host, pathPrefix, kind, timeoutMs, objectiveMs, maxAttempts, isPublic, regions };
}
