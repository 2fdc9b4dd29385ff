import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { request } from "undici";
import { v7 as createUuid } from "uuid";
import type { Configuration } from "../../core/configuration/configuration.js";
import { RequestError } from "../../core/errors/requestError.js";
import type { InstanceList } from "../../core/membership/instanceList.js";
import type { SlotBroker } from "../../core/request/slotBroker.js";
import { authenticateCaller } from "./authenticateCaller.js";
import { sendProblem } from "./sendProblem.js";

interface CallerServerOptions {
    readonly address: string;
    readonly broker: SlotBroker;
    readonly getConfiguration: () => Configuration | undefined;
    readonly getInstances: () => InstanceList;
}

const DEFAULT_DEADLINE_MS = 60_000;
const ENTRIES_TERM_MS = 5_000;

/** Serves callers over HTTP. */
export class CallerServer {
    readonly #options: CallerServerOptions;
    readonly #server: Server;

    private constructor(options: CallerServerOptions) {
        this.#options = options;
        this.#server = createServer((incoming, response) => void this.#serve(incoming, response));
    }

    /** Starts listening and returns the server. */
    static async create(options: CallerServerOptions): Promise<CallerServer> {
        const server = new CallerServer(options);
        const [host, port] = options.address.split(":");
        await new Promise<void>(resolve => server.#server.listen(Number(port), host, resolve));
        return server;
    }

    /** Address that the server listens on, host:port. */
    get address(): string {
        const { address, port } = this.#server.address() as AddressInfo;
        return `${address}:${port}`;
    }

    async #serve(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
        const requestId = createUuid();
        response.setHeader("x-request-id", requestId);
        try {
            await this.#route(incoming, response, requestId);
        }
        catch (error) {
            const failure = error instanceof RequestError
                ? error
                : RequestError.create("internal-error", String(error), { outcome: "unknown", cause: error });
            sendProblem(response, failure, requestId);
        }
    }

    async #route(incoming: IncomingMessage, response: ServerResponse, requestId: string): Promise<void> {
        if (incoming.url === "/v1/entries") {
            this.#sendEntries(response);
            return;
        }
        const configuration = this.#options.getConfiguration();
        if (!configuration) {
            throw RequestError.create("not-configured", "The instance has no configuration yet.");
        }
        const account = authenticateCaller(incoming.headers.authorization, configuration);
        const chunks: Buffer[] = [];
        for await (const chunk of incoming) {
            chunks.push(chunk as Buffer);
        }
        const body = Buffer.concat(chunks);
        const plain = /^\/services\/([^/]+)(\/.*)?$/.exec(incoming.url ?? "");
        const service = plain?.[1] ?? (JSON.parse(body.toString("utf8")) as { model: string; }).model;
        const abort = new AbortController();
        response.on("close", () => abort.abort());
        const grant = await this.#options.broker.acquireSlot({
            requestId,
            account: account.name,
            service,
            deadline: performance.now() + DEFAULT_DEADLINE_MS,
            hintedCost: undefined,
            avoidTargets: [],
        }, abort.signal);
        const answer = await request(
            `${grant.target.url}${plain ? plain[2] ?? "/" : "/v1/chat/completions"}`,
            {
                method: (incoming.method ?? "GET") as "GET",
                body: body.length > 0 ? body : null,
                headers: {
                    "x-request-id": requestId,
                    "content-type": incoming.headers["content-type"] ?? "application/json",
                },
            },
        );
        response.writeHead(answer.statusCode, { "content-type": String(answer.headers["content-type"]) });
        for await (const chunk of answer.body) {
            response.write(chunk);
        }
        response.end();
        this.#options.broker.releaseSlot(grant, { cost: 0, ending: "completed", targetState: undefined });
    }

    #sendEntries(response: ServerResponse): void {
        const entries = this.#options.getInstances().instances
            .filter(instance => instance.state === "live")
            .map(instance => ({
                instance: instance.name,
                dataCentre: instance.dataCentre,
                address: instance.callerAddress,
            }));
        response.setHeader("content-type", "application/json");
        response.end(
            JSON.stringify({ entries, validUntil: new Date(Date.now() + ENTRIES_TERM_MS).toISOString() }),
        );
    }
}
