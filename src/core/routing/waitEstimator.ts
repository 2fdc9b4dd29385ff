import type { LimitGate } from "../limits/limitGate.js";
import type { AccountUsage } from "./accountUsage.js";
import type { EngineModel } from "./engineModel.js";
import type { RoutedRequest } from "./routedRequest.js";
import type { RoutedService } from "./routedService.js";
import type { WaitingRequest } from "./waitingRequest.js";

interface WaitEstimatorOptions {
    readonly usage: AccountUsage;
    readonly limits: LimitGate;
    readonly engineModel: EngineModel;
    readonly getService: () => RoutedService;
    readonly countTargets: () => number;
    /** Returns whether all targets that a request may use have a request limit. */
    readonly hasOnlyLimited: (request: RoutedRequest) => boolean;
}

const MS_PER_SECOND = 1000;

/** Estimates how long requests of a service wait. Times are in milliseconds. */
export class WaitEstimator {
    readonly #options: WaitEstimatorOptions;

    private constructor(options: WaitEstimatorOptions) {
        this.#options = options;
    }

    /** Creates an estimator. */
    static create(options: WaitEstimatorOptions): WaitEstimator {
        return new WaitEstimator(options);
    }

    /** Counts the waiting requests that go before one, in the order of the usage of their accounts. */
    countAhead({ request }: WaitingRequest, waiting: readonly WaitingRequest[], now: number): number {
        if (waiting.length === 0) {
            return 0;
        }
        const { usage } = this.#options;
        const granted = usage.getGranted(request.account, now);
        return waiting.filter(other => usage.getGranted(other.request.account, now) <= granted).length;
    }

    /**
     * Estimates when a request gets a permit; 0 if it may use a target without a request limit.
     *
     * @param countAhead Counts the waiting requests that go before it; not called unless the count matters.
     */
    estimatePermitMs(request: RoutedRequest, countAhead: () => number, now: number): number {
        const { limits, getService, hasOnlyLimited } = this.#options;
        const perSecond = limits.getPermitsPerSecond(getService().name, now);
        if (perSecond === undefined || !hasOnlyLimited(request)) {
            return 0;
        }
        return perSecond > 0 ? (countAhead() + 1) / perSecond * MS_PER_SECOND : Number.POSITIVE_INFINITY;
    }

    /** Estimates how long a target takes to read the prompt of a request. */
    estimateReadingMs(request: RoutedRequest, now: number): number {
        const { engineModel, getService } = this.#options;
        return getService().engine ? request.promptTokens / engineModel.getPrefillTokensPerMs(now) : 0;
    }

    /** Estimates when the prompts of all waiting requests have been read. */
    estimateReturnMs(waiting: readonly WaitingRequest[], now: number): number {
        const tokens = waiting.reduce((sum, { request }) => sum + request.promptTokens, 0);
        const targets = Math.max(1, this.#options.countTargets());
        return tokens / (targets * this.#options.engineModel.getPrefillTokensPerMs(now));
    }
}
