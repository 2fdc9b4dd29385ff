import type { TargetClient } from "../../adapters/target/targetClient.js";
import { RequestError } from "../../core/errors/requestError.js";
import type { CallerRequest } from "../../core/request/callerRequest.js";
import type { RequestResult } from "../../core/request/requestResult.js";
import type { ResponseWriter } from "../../core/request/responseWriter.js";
import type { SlotBroker } from "../../core/request/slotBroker.js";
import type { DaemonContext } from "../daemonContext.js";
import type { KeyClaimer } from "./keyClaimer.js";
import { RequestExecution } from "./requestExecution.js";
import { RetryBudgets } from "./retryBudgets.js";

type ExecutorContext = Pick<
    DaemonContext,
    "getNow" | "getView" | "identity" | "metrics" | "recordDecision"
>;

interface RequestExecutorOptions {
    readonly context: ExecutorContext;
    readonly broker: SlotBroker;
    readonly targets: Pick<TargetClient, "send">;
    readonly claims: KeyClaimer;
    /** Uniform in [0, 1). */
    readonly getRandom: () => number;
    /** Waits between attempts; resolves early when the signal aborts. */
    readonly wait: (ms: number, signal: AbortSignal) => Promise<void>;
}

/** Executes requests: claims, slots, attempts at targets, retries and resumption of streams. */
export class RequestExecutor {
    readonly #options: RequestExecutorOptions;
    readonly #budgets: RetryBudgets;

    private constructor(options: RequestExecutorOptions) {
        this.#options = options;
        this.#budgets = RetryBudgets.create(options.context.getNow);
    }

    /** Creates the executor of a daemon. */
    static create(options: RequestExecutorOptions): RequestExecutor {
        return new RequestExecutor(options);
    }

    /**
     * Executes one request and writes its response.
     *
     * @param signal Aborts when the caller disconnects.
     * @throws RequestError when no complete response was written.
     */
    async execute(
        request: CallerRequest,
        writer: ResponseWriter,
        signal: AbortSignal,
    ): Promise<RequestResult> {
        this.#budgets.addRequest(request.service.name);
        const isRepeatable = !(request.service.nonRepeatableMethods ?? []).some(method =>
            method === request.method
        );
        const ticket = isRepeatable ? undefined : await this.#options.claims.claim(request);
        const abort = new AbortController();
        const onAbort = (): void => abort.abort();
        signal.addEventListener("abort", onAbort);
        if (signal.aborted) {
            abort.abort();
        }
        const timer = setTimeout(onAbort, request.deadline - this.#options.context.getNow());
        const execution = RequestExecution.create({
            ...this.#options,
            request,
            writer,
            ticket,
            isRepeatable,
            signal: abort.signal,
            tryTakeRetry: () => this.#budgets.tryTake(request.service.name),
        });
        try {
            const result = await execution.execute();
            ticket?.settle("run");
            return result;
        }
        catch (error) {
            if (error instanceof RequestError && error.outcome === "not-run") {
                ticket?.settle("released");
            }
            throw error;
        }
        finally {
            clearTimeout(timer);
            signal.removeEventListener("abort", onAbort);
        }
    }
}
