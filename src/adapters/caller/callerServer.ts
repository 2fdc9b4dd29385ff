import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { setImmediate as waitForNextTurn } from "node:timers/promises";
import { v7 as createUuid } from "uuid";
import type { ClientAccount } from "../../core/configuration/clientAccount.js";
import { RequestError } from "../../core/errors/requestError.js";
import { listEntries } from "../../core/membership/listEntries.js";
import type { CallerRequest } from "../../core/request/callerRequest.js";
import type { RequestResult } from "../../core/request/requestResult.js";
import { planEnd } from "../../core/routing/planEnd.js";
import type { CallerListeners } from "../../shared/callerListeners.js";
import { ConnectionAdmission } from "../../shared/connectionAdmission.js";
import { OverloadGuard } from "../../shared/overloadGuard.js";
import { parseListenAddress } from "../../shared/parseListenAddress.js";
import type { RelayPeers } from "../../shared/relayPeers.js";
import { authenticateCaller } from "./authenticateCaller.js";
import { CallerBodies } from "./callerBodies.js";
import { CallerConnections } from "./callerConnections.js";
import { CallerResponse } from "./callerResponse.js";
import type { CallerServerOptions } from "./callerServerOptions.js";
import { createCallerHttpServer } from "./createCallerHttpServer.js";
import { createCallerListeners } from "./createCallerListeners.js";
import { findAccount } from "./findAccount.js";
import { readCallerRequest } from "./readCallerRequest.js";
import { sendEntries } from "./sendEntries.js";
import { waitForResponseEnd } from "./waitForResponseEnd.js";

interface Exchange {
    readonly requestId: string;
    readonly receivedAt: number;
    account: string | undefined;
    service: string | undefined;
}

/** Time for requests on connections that were accepted a moment ago to arrive. */
const LAST_ANSWERS_MS = 200;
/** No request is in flight by then; open connections have sent part of a request at most. */
const CLOSE_TIMEOUT_MS = 1000;

/** Serves callers over HTTP. */
export class CallerServer {
    readonly #options: CallerServerOptions;
    readonly #listeners: CallerListeners;
    readonly #callers: CallerConnections;
    readonly #admission: ConnectionAdmission;
    readonly #bodies: CallerBodies;
    readonly #idleListeners: (() => void)[] = [];
    /** End the open requests with an error. */
    readonly #failOpen = new Set<(error: RequestError) => void>();
    #requestsInFlight = 0;
    #isDraining = false;

    private constructor(options: CallerServerOptions) {
        this.#options = options;
        this.#bodies = CallerBodies.create(options);
        this.#callers = CallerConnections.create({
            getNow: options.getNow,
            onUnreadable: (requestId, error) =>
                this.#finish(this.#createExchange(requestId), undefined, error),
        });
        const findPeer: RelayPeers["find"] = caller =>
            this.#isDraining ? undefined : options.findPeer?.(caller);
        const listenerOptions = { ...options, findPeer };
        this.#listeners = createCallerListeners(
            listenerOptions,
            () => this.#admission,
            () => this.#createServer(),
        );
        const { queue } = this.#listeners;
        const countActive = (): number => this.#requestsInFlight;
        const guard = OverloadGuard.create({
            queue,
            countActive,
            hasPeer: () => findPeer("") !== undefined,
            onReport: options.onOverload,
        });
        this.#admission = ConnectionAdmission.create({ queue, guard });
    }

    /**
     * Starts listening and returns the server.
     *
     * @throws PortError when an address cannot be bound.
     */
    static async create(options: CallerServerOptions): Promise<CallerServer> {
        const server = new CallerServer(options);
        const { address, relayAddress, ports } = options;
        await server.#listeners.open({
            ports,
            callerAddress: parseListenAddress(address),
            relayAddress: relayAddress === undefined ? undefined : parseListenAddress(relayAddress),
        });
        return server;
    }

    /** Address that the server listens on, host:port. */
    get address(): string {
        return this.#listeners.callerAddress;
    }

    /** Address for connections that peers relay, host:port; `undefined` if they relay none. */
    get relayAddress(): string | undefined {
        return this.#listeners.relayAddress;
    }

    /** Refuses new requests from now on and resolves when the requests in flight have ended, here and at peers. */
    async drain(): Promise<void> {
        this.#isDraining = true;
        if (this.#requestsInFlight > 0) {
            await new Promise<void>(resolve => this.#idleListeners.push(resolve));
        }
        await this.#listeners.waitForRelayed();
    }

    /** Stops listening, refuses the requests that callers have sent, and resolves when the last connection has closed. */
    async close(): Promise<void> {
        const now = performance.now();
        await this.#listeners.end({ answerBy: now + LAST_ANSWERS_MS, closeBy: now + CLOSE_TIMEOUT_MS });
        this.#bodies.close();
    }

    /** Ends the open requests with an error, and closes all connections within a time in milliseconds, as the process cannot go on. */
    async endRequests(timeoutMs: number): Promise<void> {
        this.#isDraining = true;
        const error = RequestError.create("internal-error", "The instance failed.", { outcome: "unknown" });
        this.#failOpen.forEach(fail => fail(error));
        const now = performance.now();
        await this.#listeners.end(planEnd(now, now + timeoutMs));
    }

    #createServer(): Server {
        const server = createCallerHttpServer((incoming, response) => void this.#serve(incoming, response));
        this.#callers.attach(server);
        return server;
    }

    #createExchange(requestId: string): Exchange {
        return { requestId, receivedAt: this.#options.getNow(), account: undefined, service: undefined };
    }

    async #serve(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
        const exchange = this.#createExchange(createUuid());
        response.setHeader("x-request-id", exchange.requestId);
        this.#callers.add(response);
        if (this.#listeners.isFromPeer(incoming.socket)) {
            // The peer relays only the first request of a connection.
            this.#callers.endWith(response);
        }
        const writer = CallerResponse.create(response);
        this.#requestsInFlight += 1;
        let result: RequestResult | undefined;
        let failure: RequestError | undefined;
        try {
            const failed = new Promise<never>((_resolve, reject) => {
                this.#failOpen.add(reject);
                response.once("close", () => this.#failOpen.delete(reject));
            });
            result = await Promise.race([this.#route(incoming, response, writer, exchange), failed]);
        }
        catch (error) {
            failure = error instanceof RequestError
                ? error
                : RequestError.create("internal-error", String(error), { outcome: "unknown", cause: error });
            this.#fail(failure, writer, response, exchange);
        }
        // One that waits for its turn is not being read by its caller yet.
        await this.#callers.waitForSending(response);
        await waitForResponseEnd(response);
        this.#requestsInFlight -= 1;
        this.#finish(exchange, result, failure);
        if (this.#requestsInFlight === 0) {
            this.#idleListeners.splice(0).forEach(resolve => resolve());
        }
    }

    async #route(
        incoming: IncomingMessage,
        response: ServerResponse,
        writer: CallerResponse,
        exchange: Exchange,
    ): Promise<RequestResult | undefined> {
        const account = findAccount(incoming.headers.authorization, this.#options.getView().index);
        if (!this.#admission.recordRequest(incoming.socket, account?.name ?? "")) {
            throw RequestError.create("overloaded", "The instance is overloaded.", { retryAfterSeconds: 1 });
        }
        if (incoming.url?.split("?", 1)[0] === "/v1/entries") {
            sendEntries(incoming, writer, this.#options);
            return undefined;
        }
        const request = await this.#callers.read(
            response,
            () => this.#read(incoming, response, exchange, account),
        );
        this.#options.onReceived(request);
        await this.#callers.waitForTurn(incoming, response);
        const abort = new AbortController();
        response.once("close", () => {
            // Aborting after a complete response would only allocate an exception for each request.
            if (!response.writableFinished) {
                abort.abort();
            }
        });
        return this.#options.execute(request, writer, abort.signal);
    }

    async #read(
        incoming: IncomingMessage,
        response: ServerResponse,
        exchange: Exchange,
        knownAccount: ClientAccount | undefined,
    ): Promise<CallerRequest> {
        if (this.#isDraining) {
            // The requests of one piece are read in one turn of the event loop.
            await waitForNextTurn();
            throw RequestError.create("instance-leaving", "The instance is leaving; use another entry.", {
                retryAfterSeconds: 1,
            });
        }
        await this.#options.waitForConfiguration?.();
        const index = this.#options.getView().index;
        if (!index) {
            throw RequestError.create("not-configured", "The instance has no configuration yet.", {
                retryAfterSeconds: 1,
            });
        }
        // A configuration may have arrived meanwhile.
        const account = knownAccount ?? authenticateCaller(incoming.headers.authorization, index);
        exchange.account = account.name;
        const request = await readCallerRequest({
            ...exchange,
            ...this.#bodies.reserve(response),
            incoming,
            index,
            account,
        });
        exchange.service = request.service.name;
        return request;
    }

    #fail(error: RequestError, writer: CallerResponse, response: ServerResponse, exchange: Exchange): void {
        // On a kept connection, the unread rest of a body would be parsed as the next request.
        const isBodyUnread = CallerBodies.isUnreadAfter(error);
        // Refusals of new connections cost less, and callers that retry at once would take the place of others.
        if (isBodyUnread || error.code === "overloaded" || this.#isDraining) {
            this.#callers.endWith(response);
        }
        const { dataCentre, getView } = this.#options;
        writer.fail(error, {
            requestId: exchange.requestId,
            ...(error.code === "instance-leaving"
                ? { entries: listEntries(getView(), dataCentre).map(entry => entry.callerAddress) }
                : {}),
        });
    }

    #finish(
        exchange: Exchange,
        result: RequestResult | undefined,
        error: RequestError | undefined,
    ): void {
        this.#options.onFinished({
            ...exchange,
            result,
            error,
            totalMs: this.#options.getNow() - exchange.receivedAt,
        });
    }
}
