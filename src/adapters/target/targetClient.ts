import { Agent, type Dispatcher } from "undici";
import type { ResponseSink } from "./responseSink.js";
import type { AttemptResult } from "./attemptResult.js";
import { mapTargetUrl } from "./mapTargetUrl.js";
import { TargetAttempt } from "./targetAttempt.js";
import type { AttemptRequest } from "./attemptRequest.js";

interface TargetClientOptions {
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
    /** Longest inactivity within a response in milliseconds. @default 10000 */
    readonly stallTimeoutMs?: number;
    /** Longest wait for a connection in milliseconds. @default 1000 */
    readonly connectTimeoutMs?: number;
    /** Published host:port of a target to the host:port to connect to. @default {} */
    readonly addressMap?: Readonly<Record<string, string>>;
}

const DEFAULT_STALL_TIMEOUT_MS = 10_000;
/** A start deadline lies at most one lease term (2 s) ahead; a slower connection would miss it. */
const DEFAULT_CONNECT_TIMEOUT_MS = 1000;

/**
 * Sends requests to targets; each connection carries one request at a time. Only connections of repeatable requests
 * are pooled: if a target closes a pooled connection during a write, it is unknown whether it ran the request.
 */
export class TargetClient {
    readonly #pooledAgent: Agent;
    /** Opens one connection for each request. */
    readonly #unpooledAgent: Agent;
    readonly #addressMap: Readonly<Record<string, string>>;
    readonly #getNow: () => number;

    private constructor(options: TargetClientOptions) {
        this.#getNow = options.getNow;
        this.#addressMap = options.addressMap ?? {};
        const connection = {
            // The deadline of the request limits the wait for the head of a response.
            headersTimeout: 0,
            bodyTimeout: options.stallTimeoutMs ?? DEFAULT_STALL_TIMEOUT_MS,
            connect: { timeout: options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS },
        };
        this.#pooledAgent = new Agent({ ...connection, pipelining: 1 });
        this.#unpooledAgent = new Agent({ ...connection, pipelining: 0 });
    }

    /** Creates a client without connections. */
    static create(options: TargetClientOptions): TargetClient {
        return new TargetClient(options);
    }

    /** Sends one attempt; never rejects. An aborted signal cancels the request at the target. */
    send(request: AttemptRequest, sink: ResponseSink, signal: AbortSignal): Promise<AttemptResult> {
        return new Promise(resolve => {
            const attempt = TargetAttempt.create({
                request,
                sink,
                signal,
                getNow: this.#getNow,
                onEnd: resolve,
            });
            const base = mapTargetUrl(request.target.url, this.#addressMap);
            const options: Dispatcher.DispatchOptions = {
                origin: base.origin,
                path: `${base.pathname.replace(/\/$/, "")}${request.path}`,
                method: request.method as Dispatcher.HttpMethod,
                headers: request.headers,
                body: request.body ?? null,
            };
            try {
                (request.isRepeatable ? this.#pooledAgent : this.#unpooledAgent).dispatch(options, attempt);
            }
            catch (error) {
                attempt.onResponseError(undefined, error as Error);
            }
        });
    }

    /** Closes all connections. */
    async close(): Promise<void> {
        await Promise.all([this.#pooledAgent.destroy(), this.#unpooledAgent.destroy()]);
    }
}
