import type { ServerResponse } from "node:http";
import type { RequestError } from "../../core/errors/requestError.js";
import type { HttpHeaders } from "../../core/request/httpHeaders.js";
import type { ResponseWriter } from "../../core/request/responseWriter.js";
import { abortResponse } from "../../shared/abortResponse.js";
import { buildProblem } from "./buildProblem.js";
import { statusByRefusalReason } from "./statusByRefusalReason.js";

interface ProblemOptions {
    readonly requestId: string;
    /** Addresses of other entries that the caller can use instead. */
    readonly entries?: readonly string[];
}

/** Writes the response to one request: that of the target or a problem document. */
export class CallerResponse implements ResponseWriter {
    readonly #response: ServerResponse;
    #isEventStream = false;

    private constructor(response: ServerResponse) {
        this.#response = response;
    }

    /** Creates a writer over a Node response whose head is not written yet. */
    static create(response: ServerResponse): CallerResponse {
        return new CallerResponse(response);
    }

    writeHead(status: number, headers: HttpHeaders): void {
        this.#isEventStream = String(headers["content-type"]).startsWith("text/event-stream");
        this.#response.writeHead(status, headers);
        this.#response.flushHeaders();
    }

    write(chunk: Uint8Array): boolean {
        return this.#response.write(chunk);
    }

    onDrain(listener: () => void): void {
        this.#response.once("drain", listener);
    }

    end(): void {
        this.#response.end();
    }

    /**
     * Responds with a problem document (RFC 9457). An event stream that has begun ends with an `error` event; any
     * other response that has begun is cut off, so that the caller cannot take it for a complete one.
     */
    fail(error: RequestError, options: ProblemOptions): void {
        const problem = { ...buildProblem(error, options.requestId), entries: options.entries };
        if (this.#response.headersSent && this.#isEventStream && !this.#response.writableEnded) {
            this.#response.end(`event: error\ndata: ${JSON.stringify({ error: problem })}\n\n`);
            return;
        }
        if (this.#response.headersSent || this.#response.destroyed) {
            abortResponse(this.#response);
            return;
        }
        if (error.retryAfterSeconds !== undefined) {
            this.#response.setHeader("retry-after", String(error.retryAfterSeconds));
        }
        const body = JSON.stringify(problem);
        this.#response.writeHead(statusByRefusalReason[error.code], {
            "content-type": "application/problem+json",
            "content-length": Buffer.byteLength(body),
        });
        this.#response.end(body);
    }
}
