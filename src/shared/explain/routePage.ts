import type { IncomingMessage, ServerResponse } from "node:http";
import { parseRouteQuery } from "../../core/explain/route/parseRouteQuery.js";
import type { RouteExplanation } from "../../core/explain/route/routeExplanation.js";
import type { RouteQuery } from "../../core/explain/route/routeQuery.js";
import { readPageBody } from "./readPageBody.js";

interface RoutePageOptions {
    readonly explain: (query: RouteQuery) => RouteExplanation;
    /** Called for each answer with a result that names no value of the query, and with the explanation if there is one. */
    readonly onAnswered: (result: string, explanation?: RouteExplanation) => void;
    readonly onError: (error: unknown) => void;
    /** Time in milliseconds for a body to arrive. @default 2000 */
    readonly bodyTimeoutMs?: number;
}

interface Answer {
    readonly status: number;
    readonly result: string;
    readonly body: unknown;
}

/** Bodies that are read at once; an explanation itself takes a moment and is not interrupted. */
const MAX_OPEN = 2;
const MAX_BODY_BYTES = 16_384;
const BODY_TIMEOUT_MS = 2000;
const FAULTS = {
    tooMany: [503, "busy", "Too many explanations are being asked for; try again."],
    noPost: [405, "bad-input", "The page takes POST with a JSON body."],
    inUrl: [
        400,
        "bad-input",
        "The page takes no query in its URL, so that no key is logged; send a JSON body.",
    ],
    tooLarge: [413, "bad-input", `The body is larger than ${MAX_BODY_BYTES} bytes.`],
    tooLate: [408, "bad-input", "The body did not arrive in time."],
    failed: [500, "internal-error", "The explanation could not be built."],
} as const;

/** The page `/explain/route`, for operators: explains a request, which is not sent. No answer contains a key. */
export class RoutePage {
    static readonly path = "/explain/route";
    readonly #options: RoutePageOptions;
    #open = 0;

    private constructor(options: RoutePageOptions) {
        this.#options = options;
    }

    /** Creates the page. */
    static create(options: RoutePageOptions): RoutePage {
        return new RoutePage(options);
    }

    /** Answers a request for the page. */
    async serve(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
        this.#open += 1;
        const answer = await this.#respond(incoming).finally(() => this.#open -= 1);
        const body = JSON.stringify(answer.body);
        response.writeHead(answer.status, {
            "Content-Type": "application/json",
            "Content-Length": String(Buffer.byteLength(body)),
            "Cache-Control": "no-store",
            // What is left of an unread body would be taken for the next request.
            ...(incoming.complete ? {} : { Connection: "close" }),
        }).end(body);
    }

    async #respond(incoming: IncomingMessage): Promise<Answer> {
        const { bodyTimeoutMs = BODY_TIMEOUT_MS, onAnswered, onError } = this.#options;
        const fail = (fault: keyof typeof FAULTS): Answer => {
            const [status, result, text] = FAULTS[fault];
            onAnswered(result);
            return { status, result, body: { faults: [text] } };
        };
        if (this.#open > MAX_OPEN) {
            return fail("tooMany");
        }
        if (incoming.method !== "POST") {
            return fail("noPost");
        }
        if (incoming.url !== RoutePage.path) {
            return fail("inUrl");
        }
        const text = await readPageBody(incoming, MAX_BODY_BYTES, bodyTimeoutMs);
        if (text === "tooLarge" || text === "tooLate") {
            return fail(text);
        }
        const { query, faults } = parseRouteQuery(text.body);
        if (!query) {
            onAnswered("bad-input");
            return { status: 400, result: "bad-input", body: { faults } };
        }
        try {
            const explanation = this.#options.explain(query);
            const result = explanation.refusal?.reason ?? explanation.services[0]?.outcome.kind ?? "answered";
            onAnswered(result, explanation);
            return { status: 200, result, body: explanation };
        }
        catch (error) {
            onError(error);
            return fail("failed");
        }
    }
}
