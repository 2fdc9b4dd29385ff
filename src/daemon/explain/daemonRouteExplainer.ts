import { authenticateCaller } from "../../adapters/caller/authenticateCaller.js";
import { parseDeadline } from "../../adapters/caller/parseDeadline.js";
import { parseServicePath } from "../../adapters/caller/parseServicePath.js";
import { resolveService } from "../../adapters/caller/resolveService.js";
import { statusByRefusalReason } from "../../adapters/caller/statusByRefusalReason.js";
import type { ClientAccount } from "../../core/configuration/clientAccount.js";
import type { ConfigurationIndex } from "../../core/configuration/configurationIndex.js";
import type { Service } from "../../core/configuration/service.js";
import { RequestError } from "../../core/errors/requestError.js";
import type { RouteExplanation } from "../../core/explain/route/routeExplanation.js";
import type { RouteQuery } from "../../core/explain/route/routeQuery.js";
import type { ServiceExplanation } from "../../core/explain/route/serviceExplanation.js";
import type { RequestTicket } from "../../core/request/requestTicket.js";

interface DaemonRouteExplainerOptions {
    readonly instance: string;
    readonly dataCentre: string;
    /** What the daemon lacks to be ready, as its status lists it. */
    readonly listMissing: () => readonly string[];
    readonly isLeaving: () => boolean;
    readonly getIndex: () => ConfigurationIndex | undefined;
    /** Explains the dispatch of a request; `undefined` without a configuration. */
    readonly explainSlot: (ticket: RequestTicket) => ServiceExplanation | undefined;
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
}

const MS_PER_SECOND = 1000;

/** Explains where this daemon would send a request now, with the functions that serve callers. */
export class DaemonRouteExplainer {
    readonly #options: DaemonRouteExplainerOptions;

    private constructor(options: DaemonRouteExplainerOptions) {
        this.#options = options;
    }

    /** Creates an explainer. */
    static create(options: DaemonRouteExplainerOptions): DaemonRouteExplainer {
        return new DaemonRouteExplainer(options);
    }

    /** Explains a request; changes nothing. */
    explain(query: RouteQuery): RouteExplanation {
        const { instance, dataCentre, listMissing } = this.#options;
        const common = {
            instance,
            dataCentre,
            notReady: listMissing(),
            route: undefined,
            account: undefined,
        };
        try {
            return { ...common, ...this.#explain(query) };
        }
        catch (error) {
            if (!(error instanceof RequestError)) {
                throw error;
            }
            return { ...common, refusal: describeRefusal(error, query), services: [] };
        }
    }

    /** @throws RequestError when the request is refused before it is queued. */
    #explain(query: RouteQuery): Pick<RouteExplanation, "route" | "account" | "refusal" | "services"> {
        const { getIndex, isLeaving, explainSlot, getNow } = this.#options;
        if (isLeaving()) {
            throw RequestError.create("instance-leaving", "The instance is leaving.");
        }
        const index = getIndex();
        if (!index) {
            throw RequestError.create("not-configured", "The instance has no configuration yet.");
        }
        const account = findAccount(query, index);
        const service = findService(query, account, index);
        const { promptTokens = 0, outputTokens, requestId = "" } = query;
        const explained = explainSlot({
            requestId,
            account: account.name,
            service: service.name,
            deadline: parseDeadline(undefined, getNow()),
            hintedCost: service.kind === "plain"
                ? service.requestCost
                : outputTokens > 0
                ? promptTokens + outputTokens
                : undefined,
            excludedTargets: [],
        });
        const { name, kind, queueLimit } = service;
        return {
            route: { name, kind, queueLimit },
            account: account.name,
            refusal: undefined,
            services: explained ? [explained] : [],
        };
    }
}

/** @throws RequestError when there is no such account. */
function findAccount({ account, key }: RouteQuery, index: ConfigurationIndex): ClientAccount {
    return index.accounts.get(account ?? "")
        ?? authenticateCaller(key === undefined ? undefined : `Bearer ${key}`, index);
}

/** @throws RequestError when there is no such service, or the account may not use it. */
function findService(
    { path, model }: RouteQuery,
    account: ClientAccount,
    index: ConfigurationIndex,
): Service {
    const parsed = parseServicePath(path);
    if (!parsed) {
        throw RequestError.create("unknown-route", "There is nothing at this path.");
    }
    return resolveService(index, account, parsed.kind, parsed.kind === "plain" ? parsed.name : model ?? "");
}

function describeRefusal(error: RequestError, { account }: RouteQuery): RouteExplanation["refusal"] {
    const { code, retryAfterSeconds } = error;
    return {
        status: statusByRefusalReason[code],
        reason: code === "unauthenticated" && account !== undefined ? "unknown-account" : code,
        retryAfterMs: retryAfterSeconds === undefined ? undefined : retryAfterSeconds * MS_PER_SECOND,
    };
}
