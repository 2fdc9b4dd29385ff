import { type ClientRequest, type IncomingMessage, request as sendRequest } from "node:http";
import type { Socket } from "node:net";
import { limitBytesBeforeHead } from "./limitBytesBeforeHead.js";
import { PausableSocket } from "./pausableSocket.js";
import type { TargetExchangeOptions } from "./targetExchangeOptions.js";

/**
 * The longest round trip to a target takes a tenth of this. The operating system repeats a lost connection request only after
 * 1, 3 and 7 s, so that a new connection reaches a target sooner that accepts none for a while.
 */
const CONNECT_TIMEOUT_MS = 400;
/** Interim responses (1xx) that a target may send before its response; none is expected, as no request asks for one. */
const MAX_INTERIM_RESPONSES = 8;
/** A response that nobody needs is read to its end within these limits, so that its connection can be reused. */
const MAX_DRAINED_BYTES = 65_536;
const DRAIN_TIMEOUT_MS = 500;

/**
 * A target that closes a connection without having read the request resets it within a few milliseconds of its end, whatever the
 * distance.
 */
const RESET_MS = 25;
const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);

/** One request to one target and its response. */
export class TargetExchange {
    static readonly CONNECT_TIMEOUT = "connect-timeout";
    readonly #options: TargetExchangeOptions;
    #request: ClientRequest | undefined;
    #response: IncomingMessage | undefined;
    #connectTimer: NodeJS.Timeout | undefined;
    #isWritten = false;
    #isEnded = false;
    #interimResponses = 0;

    private constructor(options: TargetExchangeOptions) {
        this.#options = options;
    }

    /** Sends the request. */
    static create(options: TargetExchangeOptions): TargetExchange {
        const exchange = new TargetExchange(options);
        exchange.#send();
        return exchange;
    }

    /** True once a byte of the request can have reached the target. */
    get isWritten(): boolean {
        return this.#isWritten;
    }

    /** True once the connection has taken the whole request. */
    get isSent(): boolean {
        return this.#request?.writableFinished === true;
    }

    /** True if the connection has carried no other request. */
    get isFirstOnConnection(): boolean {
        return this.#request?.reusedSocket === false;
    }

    /** Stops the request; no further callback follows. */
    abort(): void {
        this.#isEnded = true;
        clearTimeout(this.#connectTimer);
        this.#request?.destroy();
    }

    /**
     * Ends the exchange without a further callback, and reads the rest of a short response so that the connection can be
     * reused. The connection of a long or slow response is closed.
     */
    drain(): void {
        this.#isEnded = true;
        const request = this.#request;
        const response = this.#response;
        if (!response || response.readableEnded) {
            return;
        }
        let drainedBytes = 0;
        const timer = setTimeout(() => request?.destroy(), DRAIN_TIMEOUT_MS);
        response.on("data", (chunk: Buffer) => {
            drainedBytes += chunk.length;
            if (drainedBytes > MAX_DRAINED_BYTES) {
                request?.destroy();
            }
        });
        response.on("close", () => clearTimeout(timer));
        this.resumeConnection();
        response.resume();
    }

    /** Stops reading the response until `resume`, because the caller reads slowly (back pressure). */
    pause(): void {
        this.#response?.pause();
    }

    resume(): void {
        this.#response?.resume();
    }

    /** Stops reading from the connection until `resumeConnection`, so that several events are read at once. */
    pauseConnection(): void {
        this.#getPausableSocket()?.pauseReading();
    }

    resumeConnection(): void {
        this.#getPausableSocket()?.resumeReading();
    }

    #getPausableSocket(): PausableSocket | undefined {
        const socket = this.#request?.socket;
        return socket instanceof PausableSocket ? socket : undefined;
    }

    #send(): void {
        const { address, agent, outgoing } = this.#options;
        const separator = address.lastIndexOf(":");
        let request: ClientRequest;
        try {
            request = sendRequest({
                host: address.slice(0, separator),
                port: Number(address.slice(separator + 1)),
                method: outgoing.method,
                path: outgoing.path,
                headers: outgoing.headers,
                agent,
            });
        }
        catch (error) {
            queueMicrotask(() => this.#fail(String(error)));
            return;
        }
        this.#request = request;
        request.on("socket", socket => this.#onSocket(socket));
        request.on("information", () => this.#onInterimResponse());
        request.on("response", response => this.#onResponse(response));
        request.on("error", (error: NodeJS.ErrnoException) => this.#fail(error.code ?? error.message));
        request.on("close", () => this.#onClose());
        request.end(outgoing.body);
    }

    #onSocket(socket: Socket): void {
        const endLimit = limitBytesBeforeHead(socket, () => {
            this.#fail("head-too-long");
            this.#request?.destroy();
        });
        this.#request?.once("response", endLimit);
        this.#request?.once("close", endLimit);
        if (!socket.connecting) {
            this.#onConnected();
            return;
        }
        this.#connectTimer = setTimeout(() => {
            this.#fail(TargetExchange.CONNECT_TIMEOUT);
            this.#request?.destroy();
        }, CONNECT_TIMEOUT_MS);
        socket.once("connect", () => this.#onConnected());
    }

    #onConnected(): void {
        clearTimeout(this.#connectTimer);
        if (!this.#isEnded) {
            this.#isWritten = true;
            this.#options.onWritten?.();
        }
    }

    #onInterimResponse(): void {
        this.#interimResponses += 1;
        if (this.#interimResponses > MAX_INTERIM_RESPONSES) {
            this.#request?.destroy();
            this.#fail("too-many-interim-responses");
        }
    }

    #onResponse(response: IncomingMessage): void {
        if (this.#isEnded) {
            response.resume();
            return;
        }
        this.#response = response;
        this.#watchReset(response);
        response.on("data", (chunk: Buffer) => {
            if (!this.#isEnded) {
                this.#options.onData(chunk);
            }
        });
        response.on("end", () => {
            if (this.#isEnded) {
                return;
            }
            if (!response.complete) {
                this.#fail("truncated");
                return;
            }
            if (isEndedByConnection(response) && this.#request?.writableFinished === false) {
                // The target cannot have read the request, so that its response is not known to be whole.
                this.#fail("request-unread");
                return;
            }
            this.#isEnded = true;
            // The connection returns to its pool and must not stay paused.
            this.resumeConnection();
            this.#options.onEnd();
        });
        response.on("error", (error: NodeJS.ErrnoException) => this.#fail(error.code ?? error.message));
        this.#options.onHead(response);
    }

    /**
     * Fails the exchange if the end of the connection ends the response and was a reset. libuv reports the end of a connection,
     * and no error, if it reads the last bytes and the reset at once; a connection that was reset has no peer any more.
     */
    #watchReset(response: IncomingMessage): void {
        const { socket } = response;
        if (!isEndedByConnection(response)) {
            return;
        }
        if (socket instanceof PausableSocket && (this.#options.outgoing.body?.length ?? 0) > 0) {
            socket.setEndDelay(RESET_MS);
        }
        const checkReset = (): void => {
            if (socket.remoteAddress === undefined) {
                this.#fail("ECONNRESET");
            }
        };
        socket.prependOnceListener("end", checkReset);
        response.on("end", () => socket.off("end", checkReset));
    }

    /** A target that switches protocols makes Node.js close the connection without a response or an error. */
    #onClose(): void {
        if (!this.#response) {
            this.#fail("protocol-switched");
        }
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

/** Returns whether nothing but the end of its connection ends a response. */
function isEndedByConnection({ headers, statusCode = 0 }: IncomingMessage): boolean {
    return headers["content-length"] === undefined && headers["transfer-encoding"] === undefined
        && !STATUSES_WITHOUT_BODY.has(statusCode);
}
