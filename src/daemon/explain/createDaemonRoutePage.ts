import { listMissing } from "../../core/explain/listMissing.js";
import { RoutePage } from "../../shared/explain/routePage.js";
import type { Dispatcher } from "../actors/dispatcher.js";
import type { DaemonContext } from "../daemonContext.js";
import { DaemonRouteExplainer } from "./daemonRouteExplainer.js";

interface CreateOptions {
    readonly context: DaemonContext;
    readonly dispatcher: Pick<Dispatcher, "explainSlot">;
    readonly isLeaving: () => boolean;
}

/** Creates the page that explains routes of a daemon. The log names what the configuration names, never what was sent. */
export function createDaemonRoutePage({ context, dispatcher, isLeaving }: CreateOptions): RoutePage {
    const { identity, logger, metrics, getView, getNow } = context;
    const explainer = DaemonRouteExplainer.create({
        ...identity,
        listMissing: () => listMissing(getView(), isLeaving()),
        isLeaving,
        getIndex: () => getView().index,
        explainSlot: ticket => dispatcher.explainSlot(ticket),
        getNow,
    });
    return RoutePage.create({
        explain: query => explainer.explain(query),
        onAnswered: (result, explanation) => {
            metrics.count("route_explanations_total", { result });
            logger.info("route-explained", { result, account: explanation?.account });
        },
        onError: error => logger.error("operator-page-failed", { error: String(error) }),
    });
}
