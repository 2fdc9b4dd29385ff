import type { ServerResponse } from "node:http";
import type { ResponseFault } from "./responseFault.js";

/** Writes the response of a target and injects a fault into it. */
export class TargetResponseWriter {
    readonly #response: ServerResponse;
    readonly #fault: ResponseFault | undefined;
    #sentBytes = 0;
    readonly #onHead: () => void;
    #broken = false;

    private constructor(response: ServerResponse, fault: ResponseFault | undefined, onHead: () => void) {
        this.#response = response;
        this.#fault = fault;
        this.#onHead = onHead;
    }

    /** Creates a writer of a response whose head is not sent yet; `onHead` is called just before it is sent. */
    static create(
        response: ServerResponse,
        fault: ResponseFault | undefined,
        onHead: () => void,
    ): TargetResponseWriter {
        return new TargetResponseWriter(response, fault, onHead);
    }

    /** True after a fault has ended the response early. */
    get broken(): boolean {
        return this.#broken;
    }

    /** Writes one event of a stream. */
    writeEvent(text: string): void {
        this.#send(text);
        if (this.#fault?.kind === "duplicate") {
            this.#send(text);
        }
    }

    /** Ends a stream. */
    endStream(text: string): void {
        this.#send(text);
        if (!this.#broken) {
            this.#response.end();
        }
    }

    /** Sends a complete body with its length. */
    sendBody(contentType: string, text: string): void {
        this.#response.setHeader("content-type", contentType);
        this.#response.setHeader("content-length", Buffer.byteLength(text));
        const { socket } = this.#response;
        this.#send(text);
        if (this.#broken) {
            return;
        }
        this.#response.end(() => {
            if (this.#fault?.kind === "duplicate") {
                socket?.write(
                    `HTTP/1.1 200 OK\r\ncontent-type: ${contentType}\r\ncontent-length: ${
                        Buffer.byteLength(text)
                    }\r\n\r\n${text}`,
                );
            }
        });
    }

    #send(text: string): void {
        if (this.#broken) {
            return;
        }
        if (!this.#response.headersSent) {
            this.#onHead();
        }
        const isCutShort = this.#fault?.kind === "truncate" || this.#fault?.kind === "reset";
        const allowedBytes = isCutShort ? (this.#fault.afterBytes ?? 0) - this.#sentBytes : Infinity;
        const bytes = Buffer.from(text);
        if (bytes.length <= allowedBytes) {
            this.#sentBytes += bytes.length;
            this.#response.write(bytes);
            return;
        }
        this.#broken = true;
        const { socket } = this.#response;
        if (allowedBytes > 0) {
            this.#response.write(bytes.subarray(0, allowedBytes), () => this.#closeConnection(socket));
            return;
        }
        this.#closeConnection(socket);
    }

    #closeConnection(socket: ServerResponse["socket"]): void {
        if (this.#fault?.kind === "reset") {
            socket?.resetAndDestroy();
            return;
        }
        socket?.end();
    }
}
