import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { readJsonBody } from "../shared/readJsonBody.js";
import { sendJson } from "../shared/sendJson.js";
import type { ResponseFault } from "./responseFault.js";
import { TargetResponseWriter } from "./targetResponseWriter.js";
import type { Arrival } from "./arrival.js";
import { parseMarker } from "./parseMarker.js";
import { TargetCapacity } from "./targetCapacity.js";
import type { TargetExchange } from "./targetExchange.js";
import { TargetRecords } from "./targetRecords.js";
import type { TargetSettings } from "./targetSettings.js";

interface TargetServerOptions {
    readonly settings: TargetSettings;
    /** Serves one admitted request; returns true if it sent the complete response. */
    readonly serve: (exchange: TargetExchange) => Promise<boolean>;
}

const SAMPLE_INTERVAL_MS = 250;

/** HTTP server of a target stand-in: admission, load report, faults, records and control calls. */
export class TargetServer {
    readonly #options: TargetServerOptions;
    readonly #server: Server;
    readonly #control: Server;
    readonly #sockets = new Set<Socket>();
    readonly #capacity: TargetCapacity;
    readonly #records = TargetRecords.create();
    readonly #faults: ResponseFault[] = [];
    #highestFencing = 0;
    #lastExchange: { readonly body: string; readonly requestId: string; } | undefined;

    private constructor(options: TargetServerOptions) {
        this.#options = options;
        this.#capacity = TargetCapacity.create(options.settings, Date.now());
        this.#server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
            void this.#route(request, response);
        });
        this.#control = createServer((request, response) => void this.#serveControl(request, response));
        this.#server.on("connection", socket => {
            this.#sockets.add(socket);
            socket.on("close", () => this.#sockets.delete(socket));
            socket.on("error", () => undefined);
        });
    }

    /** Starts both listeners on free ports and prints their addresses as one JSON line. */
    static async create(options: TargetServerOptions): Promise<TargetServer> {
        const target = new TargetServer(options);
        await startListening(target.#server, 0);
        await startListening(target.#control, 0);
        target.#startSampling();
        const { name } = options.settings;
        process.stdout.write(`${
            JSON.stringify({
                event: "listening",
                name,
                address: formatAddress(target.#server),
                controlAddress: formatAddress(target.#control),
            })
        }\n`);
        return target;
    }

    #startSampling(): void {
        const now = Date.now();
        const sampleAt = Math.ceil((now + 1) / SAMPLE_INTERVAL_MS) * SAMPLE_INTERVAL_MS;
        setTimeout(() => {
            const report = this.#capacity.getReport(Date.now());
            this.#records.recordSample(sampleAt, report.running, report.bearable);
            this.#capacity.recordSample(Date.now());
            this.#startSampling();
        }, sampleAt - now);
    }

    async #route(request: IncomingMessage, response: ServerResponse): Promise<void> {
        if (request.url?.startsWith("/control/")) {
            await this.#serveControl(request, response);
            return;
        }
        if (request.url === "/v1/load") {
            sendJson(response, this.#capacity.readLaggingReport(Date.now()));
            return;
        }
        const chunks: Buffer[] = [];
        try {
            for await (const chunk of request) {
                chunks.push(chunk as Buffer);
            }
        }
        catch {
            return;
        }
        await this.#accept(request, response, Buffer.concat(chunks).toString("utf8"));
    }

    async #accept(request: IncomingMessage, response: ServerResponse, body: string): Promise<void> {
        const now = Date.now();
        const markedText = `${request.url ?? ""}\n${body}`;
        const arrival = this.#records.addArrival({
            requestId: String(request.headers["x-request-id"] ?? ""),
            idempotencyKey: String(request.headers["idempotency-key"] ?? ""),
            account: parseMarker(decodeURIComponent(markedText), "account"),
            marker: parseMarker(decodeURIComponent(markedText), "request"),
            startMs: now,
            endMs: undefined,
            tokens: 0,
            ending: "running",
        });
        response.setHeader("x-request-id", arrival.requestId);
        const fencing = Number(request.headers["x-fencing-number"] ?? 0);
        if (this.#options.settings.checksFencing && fencing < this.#highestFencing) {
            this.#refuse(response, arrival, "stale-fencing-number");
            return;
        }
        this.#highestFencing = Math.max(this.#highestFencing, fencing);
        const admission = this.#capacity.tryStart(now);
        const { state } = this.#capacity.getReport(now);
        response.setHeader("x-target-state", state);
        const onHead = (): void => {
            if (state === "cold") {
                this.#capacity.markShown(Date.now());
            }
        };
        if (admission === "started") {
            await this.#serve(request, response, body, arrival, onHead);
            return;
        }
        onHead();
        this.#refuse(response, arrival, "overloaded");
        if (admission === "overloaded") {
            this.#failAndRestart();
        }
    }

    #refuse(response: ServerResponse, arrival: Arrival, code: string): void {
        arrival.ending = "refused";
        arrival.endMs = Date.now();
        response.setHeader("x-not-run", "true");
        sendJson(response, { code }, 503);
    }

    async #serve(
        request: IncomingMessage,
        response: ServerResponse,
        body: string,
        arrival: Arrival,
        onHead: () => void,
    ): Promise<void> {
        this.#records.recordRunning(this.#capacity.running, Date.now());
        const abortController = new AbortController();
        response.on("close", () => abortController.abort());
        const fault = this.#takeFault();
        const substitute = fault?.kind === "cross" ? this.#lastExchange : undefined;
        if (substitute) {
            response.setHeader("x-request-id", substitute.requestId);
        }
        this.#lastExchange = { body, requestId: arrival.requestId };
        let completed = false;
        try {
            if (fault?.kind === "delay") {
                await sleep(fault.delayMs ?? 0);
            }
            completed = await this.#options.serve({
                method: request.method ?? "GET",
                path: request.url ?? "/",
                headers: request.headers,
                body: substitute?.body ?? body,
                writer: TargetResponseWriter.create(response, fault, onHead),
                arrival,
                signal: abortController.signal,
                setHeader: (name, value) => response.setHeader(name, value),
                addTokens: tokens => this.#records.addTokens(arrival, tokens),
            });
        }
        finally {
            const now = Date.now();
            arrival.endMs = now;
            arrival.ending = completed ? "completed" : arrival.ending === "running" ? "cancelled" : "reset";
            this.#capacity.finish(completed);
            this.#records.recordRunning(this.#capacity.running, now);
        }
    }

    #takeFault(): ResponseFault | undefined {
        const fault = this.#faults.shift();
        if (fault && (fault.count ?? 1) > 1) {
            this.#faults.unshift({ ...fault, count: (fault.count ?? 1) - 1 });
        }
        return fault;
    }

    #failAndRestart(): void {
        if (!this.#server.listening) {
            return;
        }
        const { port } = this.#server.address() as AddressInfo;
        for (const arrival of this.#records.arrivals) {
            arrival.ending = arrival.ending === "running" ? "reset" : arrival.ending;
        }
        this.#server.close();
        for (const socket of this.#sockets) {
            socket.resetAndDestroy();
        }
        this.#capacity.timesFallen += 1;
        setTimeout(() => {
            this.#capacity.resetEpoch(Date.now());
            void startListening(this.#server, port);
        }, this.#options.settings.downMs);
    }

    async #serveControl(request: IncomingMessage, response: ServerResponse): Promise<void> {
        switch (`${request.method ?? "GET"} ${request.url ?? ""}`) {
            case "GET /control/records":
                return sendJson(response, this.#records.arrivals);
            case "GET /control/samples":
                return sendJson(response, this.#records.samples);
            case "GET /control/summary":
                return sendJson(response, this.#buildSummary());
            case "POST /control/faults":
                this.#faults.push(await readJsonBody(request) as ResponseFault);
                return sendJson(response, {});
            case "POST /control/cold":
                this.#capacity.setCold(Date.now());
                return sendJson(response, {});
            case "POST /control/fall":
                this.#failAndRestart();
                return sendJson(response, {});
            default:
                return sendJson(response, { code: "unknown-control-call" }, 404);
        }
    }

    #buildSummary(): object {
        const { peak, breaches, timesFallen } = this.#capacity;
        return {
            ...this.#capacity.getReport(Date.now()),
            name: this.#options.settings.name,
            arrivals: this.#records.arrivals.length,
            tokens: this.#records.arrivals.reduce((sum, arrival) => sum + arrival.tokens, 0),
            peak,
            breaches: breaches.length,
            breachesBeforeNotice: breaches.filter(breach => breach.noticedAtMs === undefined).length,
            breachRecords: breaches,
            timesFallen,
            busyMs: this.#records.sumBusyMs(Date.now()),
        };
    }
}

function startListening(server: Server, port: number): Promise<void> {
    return new Promise(resolve => server.listen(port, "127.0.0.1", resolve));
}

function formatAddress(server: Server): string {
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}
