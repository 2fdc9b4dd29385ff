import type { IncomingMessage, ServerResponse } from "node:http";
import type { EndPlan } from "../core/routing/endPlan.js";
import type { RouterConfiguration } from "../core/routing/routerConfiguration.js";
import { abortResponse } from "../shared/abortResponse.js";
import { buildAdmissionOptions } from "../shared/buildAdmissionOptions.js";
import { CallerListeners } from "../shared/callerListeners.js";
import { ServerConnections } from "../shared/serverConnections.js";
import { addHeldTime } from "./addHeldTime.js";
import { BodyReader } from "./bodyReader.js";
import { CallerAdmission } from "./callerAdmission.js";
import { CallerConnections } from "./callerConnections.js";
import type { CallerExchange } from "./callerExchange.js";
import { createCallerServer } from "./createCallerServer.js";
import { createFingerprint } from "./createFingerprint.js";
import type { IngressOptions } from "./ingressOptions.js";
import { refuseRequest } from "./refuseRequest.js";
import { setCallerTimeouts } from "./setCallerTimeouts.js";

const DEFAULT_MAX_BODY_BYTES = 4_194_304;
const RETRY_AFTER_MS = 500;
/** Of the connections that may be served: each relayed one takes two descriptors. */
const MAX_RELAYED_SHARE = 0.25;

type Refusal = readonly [
    cause: Parameters<typeof refuseRequest>[2]["cause"],
    reason: string,
    retryAfterMs: number | undefined,
    account?: string,
];

/** Accepts callers' connections and reads their requests. */
export class Ingress {
    readonly #options: IngressOptions;
    readonly #listeners: CallerListeners;
    readonly #connections: CallerConnections;
    readonly #bodies: BodyReader;
    /** Decides which connections and requests are served. */
    readonly admission: CallerAdmission;
    /** Requests that are not being served yet, with their identifiers. */
    readonly #unserved = new Map<ServerResponse, string | undefined>();
    readonly #open = new Set<ServerResponse>();

    private constructor(options: IngressOptions) {
        this.#options = options;
        const getMaxBodyBytes = (): number => options.getLimits()?.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
        const findPeer: IngressOptions["findPeer"] = caller =>
            options.isStopping() ? undefined : options.findPeer(caller);
        const readAccount = (head: string): string => options.findAccount(options.wire.readKey(head));
        this.#listeners = CallerListeners.create({
            connections: {
                ...buildAdmissionOptions(() => this.admission, readAccount),
                maxUnread: options.connectionLimits.served,
                maxRefused: options.connectionLimits.surplus,
                maxRelayed: Math.floor(options.connectionLimits.served * MAX_RELAYED_SHARE),
                findPeer,
            },
            createServer: () => {
                const server = createCallerServer((incoming, response) =>
                    this.#acceptGuarded(incoming, response)
                );
                server.on("clientError", (error, socket) => this.#connections.end(error, socket));
                server.on("connect", (_incoming, socket) => this.#connections.refuseTunnel(socket));
                server.on("upgrade", (_incoming, socket) => this.#connections.keepFor(socket));
                return server;
            },
        });
        this.admission = CallerAdmission.create({
            ...options,
            getMaxBodyBytes,
            queue: this.#listeners.queue,
            countActive: () => this.#open.size,
            countHeld: () => this.#listeners.held,
            hasPeer: () => findPeer("") !== undefined,
            countTargetConnections: () => options.countTargetConnections() + this.#listeners.relayDescriptors,
        });
        this.#bodies = BodyReader.create({
            memory: options.memory,
            getNow: options.getNow,
            getMaxBodyBytes,
            getMaxIdleMs: options.getMaxBodyIdleMs,
            onRefused: (response, cause) => this.#refuse(response, cause, cause, RETRY_AFTER_MS),
            runGuarded: (response, handler) => this.runGuarded({ response }, handler),
        });
        this.#connections = CallerConnections.create({
            getNow: options.getNow,
            onUnreadable: (response, cause) => this.#refuse(response, cause, cause, undefined),
            onFailure: (reason, dueResponses) =>
                options.log.write("caller-connection-failed", { reason, dueResponses }),
        });
    }

    /**
     * Starts listening.
     *
     * @throws PortError when an address cannot be bound.
     */
    static async create(options: IngressOptions): Promise<Ingress> {
        const ingress = new Ingress(options);
        await ingress.#listeners.open(options).catch((error: unknown) => {
            ingress.close();
            throw error;
        });
        return ingress;
    }

    /** Applies the timeouts of a new configuration. */
    applyLimits(limits: RouterConfiguration["limits"]): void {
        this.#listeners.servers.forEach(server => setCallerTimeouts(server, limits));
    }

    /** Requests that are being read or served, and connections that peers serve for this instance. */
    get openRequests(): number {
        return this.#open.size + this.#listeners.relayedToPeers;
    }

    /** Tells the callers of open requests that their connections close with the responses. */
    endKeepAlive(): void {
        this.#open.forEach(response => this.#connections.endAfter(response));
    }

    /** Accepts the connections that callers have opened until now, and no more; at the latest `until` (monotonic milliseconds). */
    stopListening(until: number): Promise<void> {
        return this.#listeners.stopListening(until);
    }

    /** Stops listening, answers the requests on open connections, and closes all. */
    async end({ answerBy, closeBy }: EndPlan): Promise<void> {
        await this.stopListening(answerBy);
        await this.#listeners.waitForResponses(answerBy);
        this.#refuseUnserved();
        await this.#listeners.endConnections(closeBy);
        this.#open.forEach(abortResponse);
        this.close();
    }

    /** Closes everything at once. */
    close(): void {
        this.admission.close();
        this.#listeners.close();
    }

    /**
     * Refuses a request that was read and cannot be served, as not executed.
     *
     * @param retryAfterMs Time in milliseconds after which it may come back; `undefined` if that would not help.
     */
    refuse({ response }: CallerExchange, reason: string, retryAfterMs: number | undefined): void {
        this.#refuse(response, "no-target", reason, retryAfterMs);
    }

    /** Records that a request is being served, so that its end is decided elsewhere. */
    recordServed({ response }: CallerExchange): void {
        this.#unserved.delete(response);
    }

    /** Returns whether a request has neither been served nor refused, and its caller still waits. */
    isOpen(exchange: CallerExchange): boolean {
        return this.#unserved.has(exchange.response) && !CallerConnections.isClosed(exchange);
    }

    /** Runs a handler of a request that is not being served; an unexpected error in it ends the request. */
    runGuarded({ response }: Pick<CallerExchange, "response">, handler: () => void): void {
        const refuse = (): void => this.#refuse(response, "internal-error", "internal-error", RETRY_AFTER_MS);
        const { errorBoundary } = this.#options;
        errorBoundary.run(
            "request",
            handler,
            () => errorBoundary.run("request", refuse, () => abortResponse(response)),
        );
    }

    /** Refuses the requests that are not being served yet, because the instance stops. */
    #refuseUnserved(): void {
        this.#unserved.forEach((_id, response) =>
            this.#refuse(response, "stopping", "stopping", RETRY_AFTER_MS)
        );
    }

    #acceptGuarded(incoming: IncomingMessage, response: ServerResponse): void {
        if (ServerConnections.isEnded(incoming.socket)) {
            // It was sent behind the last response, or as its connection ended, and cannot be answered any more.
            this.#options.log.write("caller-connection-failed", { reason: "request-after-end" });
            incoming.resume();
            return;
        }
        const acceptWaitMs = this.admission.getAcceptWaitMs(incoming.socket);
        this.#open.add(response);
        this.#connections.add(incoming, response);
        response.on("close", () => {
            this.#open.delete(response);
            if (this.#unserved.has(response)) {
                const request = this.#unserved.get(response);
                const fields = { request, outcome: "caller-left-unserved", ending: "left", acceptWaitMs };
                this.#options.log.write("request-ended", fields);
                this.#unserved.delete(response);
            }
        });
        this.runGuarded({ response }, () => this.#accept(incoming, response, acceptWaitMs));
    }

    #accept(incoming: IncomingMessage, response: ServerResponse, acceptWaitMs: number | undefined): void {
        const { wire, getNow, findAccount, resolve, isStopping } = this.#options;
        const receivedAt = getNow();
        const head = wire.readRequestHead(incoming);
        this.#unserved.set(response, head.requestId);
        const isRelayed = this.#listeners.isFromPeer(incoming.socket);
        if (isStopping() || isRelayed) {
            // The peer relays only the first request of a connection.
            this.#connections.endAfter(response);
        }
        const refusal = this.admission.recordRequest(incoming.socket, findAccount(head.key));
        if (refusal) {
            // Refusals of new connections cost less, and callers that retry at once would take the place of others.
            this.#connections.endAfter(response);
            this.#refuseHead(incoming, response, "no-target", refusal, RETRY_AFTER_MS);
            return;
        }
        const resolved = resolve(head, incoming.url ?? "/", receivedAt);
        if (resolved.kind === "refused") {
            const { status, reason, retryAfterMs, account } = resolved;
            this.#refuseHead(incoming, response, status, reason, retryAfterMs, account);
            return;
        }
        this.admission.addDue(response, resolved.request.deadline);
        this.#bodies.read(incoming, response, resolved.request.deadline, body => {
            const fingerprint = createFingerprint(incoming, head, resolved.request.account, body);
            const request = { ...resolved.request, fingerprint, acceptWaitMs, isRelayed };
            this.#serveInTurn({ incoming, response, head, request, body });
        });
    }

    /** Serves a request in its turn on its connection, unless its caller has disconnected or its time is up by then. */
    #serveInTurn(exchange: CallerExchange): void {
        const serve = (heldMs: number | undefined): void => {
            if (!this.isOpen(exchange)) {
                return;
            }
            if (heldMs !== undefined && this.#options.getNow() >= exchange.request.deadline) {
                this.refuse(exchange, "deadline-expired", RETRY_AFTER_MS);
                return;
            }
            this.#options.serve(addHeldTime(exchange, heldMs));
        };
        this.#connections.runInTurn(exchange, heldMs => this.runGuarded(exchange, () => serve(heldMs)));
    }

    /**
     * Refuses a request whose body has not been read. A refusal that ends its connection comes in its turn, when requests that were
     * sent in one piece with it have been read: they are refused on the same connection.
     */
    #refuseHead(incoming: IncomingMessage, response: ServerResponse, ...refusal: Refusal): void {
        this.#bodies.skip(incoming);
        if (!this.#connections.isEndedAfter(response)) {
            this.#refuse(response, ...refusal);
            return;
        }
        const refuse = (): void =>
            this.#unserved.has(response) ? this.#refuse(response, ...refusal) : undefined;
        this.#connections.runInTurn({ incoming, response }, () => this.runGuarded({ response }, refuse));
    }

    /** Ends a request that no target has got. */
    #refuse(
        response: ServerResponse,
        ...[cause, reason, retryAfterMs, account]: Refusal
    ): void {
        const requestId = this.#unserved.get(response);
        this.#unserved.delete(response);
        refuseRequest(this.#options, response, { requestId, cause, reason, retryAfterMs, account });
    }
}
