import type { IncomingMessage } from "node:http";
import type { PromptPart } from "../core/routing/promptPart.js";
import type { TargetNotice } from "../core/routing/targetNotice.js";
import type { WireFormat } from "../router/wireFormat.js";
import { readHeader } from "../shared/readHeader.js";
import { parseRequestLimit } from "./parseRequestLimit.js";
import { parseRuns } from "./parseRuns.js";
import { parseServerLoad } from "./parseServerLoad.js";
import { parseStart } from "./parseStart.js";
import { parseTargetNotice } from "./parseTargetNotice.js";

/** Hop-by-hop headers, and those that only the system sets; callers' values never reach a target. */
const DROPPED_FROM_REQUEST: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "content-length",
    "authorization",
    "deadline-ms",
    "expect-instance",
    "tenant",
    "hold",
    "pin-ms",
    "kv-backup",
    "kv-from",
    "kv-fetch",
]);
const DROPPED_FROM_RESPONSE: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "server-load",
]);
const KEY_SCHEME = "Bearer ";
const NO_NOTICE: TargetNotice = { isLeaving: false, pauseMs: undefined, unusualHeaders: [] };
const MISDIRECTED = 421;
const MS_PER_SECOND = 1000;
/**
 * Larger amounts of tokens are taken for this, several times what models can read. With 1e300, sums lost all other amounts, and
 * peers took the reports of the instance for damaged.
 */
const MAX_TOKENS = 10_000_000;

/** Maps the headers of the platform's protocol (PROTOCOL.md). */
export const platformWireFormat: WireFormat = {
    readRequestHead: incoming => {
        const { headers } = incoming;
        // Format: number of prompt tokens, largest number of output tokens.
        const [promptTokens, outputTokens] = String(headers["token-usage"] ?? "").split(",").map(Number);
        return {
            requestId: readText(headers["request-id"]),
            host: (headers.host ?? "").replace(/:\d+$/, "").toLowerCase(),
            patienceMs: readNonNegativeNumber(headers["deadline-ms"]),
            key: readKey(headers.authorization),
            promptTokens: toTokens(promptTokens),
            outputTokens: toTokens(outputTokens),
            prompt: readPrompt(headers["prompt-prefix"]),
            lastEventId: readLastEventId(headers["last-event-id"]),
            streamId: readText(headers["resumes"]),
            forwardedHeaders: listForwardedHeaders(incoming, DROPPED_FROM_REQUEST),
        };
    },
    readKey: head => readKey(readHeader(head, "authorization")),
    buildTargetHeaders: values => {
        const { requestHead } = values;
        const headers = [...requestHead.forwardedHeaders];
        if (values.lastEventId !== undefined) {
            const known = headers.findIndex((name, i) =>
                i % 2 === 0 && name.toLowerCase() === "last-event-id"
            );
            if (known >= 0) {
                headers.splice(known, 2);
            }
            headers.push("Last-Event-Id", values.lastEventId);
        }
        headers.push("Deadline-Ms", String(values.remainingMs), "Expect-Instance", values.targetId);
        if (values.promptSource !== undefined) {
            headers.push("Kv-Fetch", values.promptSource);
        }
        if (values.account !== "") {
            headers.push("Tenant", values.account);
        }
        if (values.bodyLength !== undefined) {
            headers.push("Content-Length", String(values.bodyLength));
        }
        return headers;
    },
    readResponseHead: response => {
        const { headers } = response;
        return {
            requestId: readText(headers["request-id"]),
            isNotExecuted: headers["not-executed"] !== undefined,
            isFramed: headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined,
            contentType: headers["content-type"],
            isSigned: headers["response-signature"] !== undefined,
            isMisdirected: response.statusCode === MISDIRECTED,
            // Reading `headersDistinct` parses all headers again.
            requestLimit: headers["server-limit"] === undefined
                ? { kind: "none" }
                : parseRequestLimit(response.headersDistinct["server-limit"]),
            notice: readNotice(response),
            load: parseServerLoad(readText(headers["server-load"])),
            forwardedHeaders: listForwardedHeaders(response, DROPPED_FROM_RESPONSE),
        };
    },
    buildStartQuestion: ({ id, address }) => ({
        method: "GET",
        path: "/report",
        headers: ["Host", address, "Expect-Instance", id],
        body: undefined,
    }),
    readStart: parseStart,
    readRuns: parseRuns,
    buildLocalResponseHeaders: (requestId, retryAfterMs) => ({
        ...(requestId === undefined ? {} : { "Request-Id": requestId }),
        ...(retryAfterMs === undefined ? {} : { "Retry-After": (retryAfterMs / MS_PER_SECOND).toFixed(2) }),
    }),
};

function readNotice(response: IncomingMessage): TargetNotice {
    const { headers } = response;
    // Reading `headersDistinct` parses all headers again.
    return headers["server-leaving"] === undefined && headers["retry-after"] === undefined
        ? NO_NOTICE
        : parseTargetNotice({
            statusCode: response.statusCode,
            leaving: response.headersDistinct["server-leaving"],
            retryAfter: response.headersDistinct["retry-after"],
            timeOfDay: Date.now(),
        });
}

function readText(value: string | string[] | undefined): string | undefined {
    return Array.isArray(value) ? value[0] : value;
}

/** Events are numbered from 1, so that a caller that names event 0 has got none. */
function readLastEventId(value: string | string[] | undefined): string | undefined {
    const text = readText(value);
    return text === "" || text === "0" ? undefined : text;
}

function toNonNegativeNumber(value: number | undefined): number | undefined {
    return value !== undefined && Number.isFinite(value) && value >= 0 ? value : undefined;
}

function toTokens(value: number | undefined): number {
    return Math.min(MAX_TOKENS, toNonNegativeNumber(value) ?? 0);
}

function readNonNegativeNumber(value: string | string[] | undefined): number | undefined {
    const text = readText(value);
    return text === undefined ? undefined : toNonNegativeNumber(Number(text));
}

function readKey(value: string | undefined): string | undefined {
    return value?.startsWith(KEY_SCHEME) ? value.slice(KEY_SCHEME.length).trim() : undefined;
}

function readPrompt(value: string | string[] | undefined): readonly PromptPart[] {
    const text = readText(value);
    if (!text) {
        return [];
    }
    return text.split(",").map(entry => {
        const [id, tokens] = entry.trim().split(":");
        return { id: id ?? "", tokens: toTokens(Number(tokens)) };
    });
}

function listForwardedHeaders(message: IncomingMessage, dropped: ReadonlySet<string>): readonly string[] {
    const { rawHeaders } = message;
    const named = new Set((message.headers.connection ?? "").toLowerCase().split(/\s*,\s*/));
    const forwarded: string[] = [];
    for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
        const name = rawHeaders[i] ?? "";
        const lowerCase = name.toLowerCase();
        if (!dropped.has(lowerCase) && !named.has(lowerCase)) {
            forwarded.push(name, rawHeaders[i + 1] ?? "");
        }
    }
    return forwarded;
}
