import { RoutePage } from "../../shared/explain/routePage.js";
import type { ErrorBoundary } from "../errorBoundary.js";
import type { LogSink } from "../logSink.js";
import type { RouterMetrics } from "../routerMetrics.js";
import { RouteExplainer } from "./routeExplainer.js";

type ExplainerOptions = Parameters<typeof RouteExplainer.create>[0];

interface CreateOptions extends ExplainerOptions {
    readonly log: Pick<LogSink, "write">;
    readonly metrics: Pick<RouterMetrics, "countExplanation">;
    readonly errorBoundary: Pick<ErrorBoundary, "run">;
}

/** Creates the page that explains routes of a router. The log names what the configuration names, never what was sent. */
export function createRoutePage(options: CreateOptions): RoutePage {
    const { log, metrics, errorBoundary } = options;
    const explainer = RouteExplainer.create(options);
    return RoutePage.create({
        explain: query => explainer.explain(query),
        onAnswered: (result, explanation) => {
            metrics.countExplanation(result);
            log.write("route-explained", {
                result,
                route: explanation?.route?.["name"],
                account: explanation?.account,
            });
        },
        onError: error =>
            errorBoundary.run("explain-route", () => {
                throw error;
            }),
    });
}
