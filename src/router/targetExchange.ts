import { type Agent, type ClientRequest, type IncomingMessage, request as sendRequest } from "node:http";
import type { Socket } from "node:net";
import type { OutgoingRequest } from "./outgoingRequest.js";
import { PausableSocket } from "./pausableSocket.js";

interface TargetExchangeOptions {
    /** host:port. */
    readonly address: string;
    readonly order: OutgoingRequest;
    /** `false` opens a dedicated connection for this request. */
    readonly agent: Agent | false;
    readonly onHead: (answer: IncomingMessage) => void;
    readonly onData: (chunk: Buffer) => void;
    readonly onEnd: () => void;
    /** `isWritten` is false if no byte of the request can have reached the target. */
    readonly onFail: (reason: string, isWritten: boolean) => void;
}

/** The longest round trip to a target takes a tenth of this. */
const CONNECT_TIMEOUT_MS = 400;

/** One request to one target and its response. */
export class TargetExchange {
    readonly #options: TargetExchangeOptions;
    #request: ClientRequest | undefined;
    #answer: IncomingMessage | undefined;
    #connectTimer: NodeJS.Timeout | undefined;
    #isWritten = false;
    #isEnded = false;

    private constructor(options: TargetExchangeOptions) {
        this.#options = options;
    }

    /** Sends the request. */
    static create(options: TargetExchangeOptions): TargetExchange {
        const exchange = new TargetExchange(options);
        exchange.#send();
        return exchange;
    }

    /** Stops the request; no further callback follows. */
    abort(): void {
        this.#isEnded = true;
        clearTimeout(this.#connectTimer);
        this.#request?.destroy();
    }

    /** Stops reading the response until `resume`, because the caller reads slowly (back pressure). */
    pause(): void {
        this.#answer?.pause();
    }

    resume(): void {
        this.#answer?.resume();
    }

    /** Stops reading from the connection until `resumeConnection`, so that several events are read at once. */
    pauseConnection(): void {
        this.#getPausable()?.pauseReading();
    }

    resumeConnection(): void {
        this.#getPausable()?.releaseReading();
    }

    /** Dedicated connections are plain sockets; responses on them are not streamed. */
    #getPausable(): PausableSocket | undefined {
        const socket = this.#request?.socket;
        return socket instanceof PausableSocket ? socket : undefined;
    }

    #send(): void {
        const { address, agent, order } = this.#options;
        const separator = address.lastIndexOf(":");
        let request: ClientRequest;
        try {
            request = sendRequest({
                host: address.slice(0, separator),
                port: Number(address.slice(separator + 1)),
                method: order.method,
                path: order.path,
                headers: order.headers,
                agent,
            });
        }
        catch (error) {
            queueMicrotask(() => this.#fail(String(error)));
            return;
        }
        this.#request = request;
        request.on("socket", socket => this.#onSocket(socket));
        request.on("response", answer => this.#onResponse(answer));
        request.on("error", (error: NodeJS.ErrnoException) => this.#fail(error.code ?? error.message));
        request.end(order.body);
    }

    #onSocket(socket: Socket): void {
        if (!socket.connecting) {
            this.#isWritten = true;
            return;
        }
        this.#connectTimer = setTimeout(() => {
            this.#fail("connect-timeout");
            this.#request?.destroy();
        }, CONNECT_TIMEOUT_MS);
        socket.once("connect", () => {
            this.#isWritten = true;
            clearTimeout(this.#connectTimer);
        });
    }

    #onResponse(answer: IncomingMessage): void {
        if (this.#isEnded) {
            answer.resume();
            return;
        }
        this.#answer = answer;
        answer.on("data", (chunk: Buffer) => {
            if (!this.#isEnded) {
                this.#options.onData(chunk);
            }
        });
        answer.on("end", () => {
            if (this.#isEnded) {
                return;
            }
            if (!answer.complete) {
                this.#fail("truncated");
                return;
            }
            this.#isEnded = true;
            // The connection returns to its pool and must not stay paused.
            this.resumeConnection();
            this.#options.onEnd();
        });
        answer.on("error", (error: NodeJS.ErrnoException) => this.#fail(error.code ?? error.message));
        this.#options.onHead(answer);
    }

    #fail(reason: string): void {
        if (this.#isEnded) {
            return;
        }
        this.#isEnded = true;
        clearTimeout(this.#connectTimer);
        this.#options.onFail(reason, this.#isWritten);
    }
}
