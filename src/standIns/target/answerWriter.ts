import type { ServerResponse } from "node:http";
import type { AnswerFault } from "./answerFault.js";

/** Writes the response of a target and injects a fault into it. */
export class AnswerWriter {
    readonly #response: ServerResponse;
    readonly #fault: AnswerFault | undefined;
    #sentBytes = 0;
    readonly #onHead: () => void;
    #broken = false;

    private constructor(response: ServerResponse, fault: AnswerFault | undefined, onHead: () => void) {
        this.#response = response;
        this.#fault = fault;
        this.#onHead = onHead;
    }

    /** Creates a writer of a response whose head is not sent yet; `onHead` is called just before it is sent. */
    static create(
        response: ServerResponse,
        fault: AnswerFault | undefined,
        onHead: () => void,
    ): AnswerWriter {
        return new AnswerWriter(response, fault, onHead);
    }

    /** True after a fault has ended the response early. */
    get broken(): boolean {
        return this.#broken;
    }

    /** Writes one event of a stream. */
    write(text: string): void {
        this.#send(text);
        if (this.#fault?.kind === "duplicate") {
            this.#send(text);
        }
    }

    /** Ends a stream. */
    end(text: string): void {
        this.#send(text);
        if (!this.#broken) {
            this.#response.end();
        }
    }

    /** Sends a complete body with its length. */
    sendWhole(contentType: string, text: string): void {
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
        const breaks = this.#fault?.kind === "truncate" || this.#fault?.kind === "reset";
        const allowed = breaks ? (this.#fault.afterBytes ?? 0) - this.#sentBytes : Infinity;
        const bytes = Buffer.from(text);
        if (bytes.length <= allowed) {
            this.#sentBytes += bytes.length;
            this.#response.write(bytes);
            return;
        }
        this.#broken = true;
        const { socket } = this.#response;
        if (allowed > 0) {
            this.#response.write(bytes.subarray(0, allowed), () => this.#closeConnection(socket));
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
