import type { IncomingMessage } from "node:http";
import type { PromptPart } from "../core/routing/promptPart.js";
import type { WireFormat } from "../router/wireFormat.js";

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
const DROPPED_FROM_ANSWER: ReadonlySet<string> = new Set([
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
const MISDIRECTED = 421;
const MS_PER_SECOND = 1000;

/** Maps the headers of the platform's protocol (PROTOCOL.md). */
export const platformWireFormat: WireFormat = {
    readRequest: incoming => {
        const { headers } = incoming;
        // Format: number of prompt tokens, largest number of output tokens.
        const [promptTokens, outputTokens] = String(headers["token-usage"] ?? "").split(",").map(Number);
        return {
            requestId: readText(headers["request-id"]),
            host: (headers.host ?? "").replace(/:\d+$/, "").toLowerCase(),
            patienceMs: readAmount(headers["deadline-ms"]),
            key: readKey(headers.authorization),
            promptTokens: toAmount(promptTokens) ?? 0,
            outputTokens: toAmount(outputTokens) ?? 0,
            prompt: readPrompt(headers["prompt-prefix"]),
            passedHeaders: listPassedHeaders(incoming, DROPPED_FROM_REQUEST),
        };
    },
    buildTargetHeaders: values => {
        const { facts } = values;
        const headers = [...facts.passedHeaders];
        if (values.lastEventId !== undefined) {
            const known = headers.findIndex((name, i) =>
                i % 2 === 0 && name.toLowerCase() === "last-event-id"
            );
            if (known >= 0) {
                headers.splice(known, 2);
            }
            headers.push("Last-Event-Id", values.lastEventId);
        }
        headers.push("Deadline-Ms", String(values.patienceMs), "Expect-Instance", values.targetId);
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
    readAnswer: answer => {
        const { headers } = answer;
        return {
            requestId: readText(headers["request-id"]),
            isNotRun: headers["not-executed"] !== undefined,
            isFramed: headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined,
            isMisdirected: answer.statusCode === MISDIRECTED,
            passedHeaders: listPassedHeaders(answer, DROPPED_FROM_ANSWER),
        };
    },
    buildOwnHeaders: (requestId, retryAfterMs) => ({
        ...(requestId === undefined ? {} : { "Request-Id": requestId }),
        ...(retryAfterMs === undefined ? {} : { "Retry-After": (retryAfterMs / MS_PER_SECOND).toFixed(2) }),
    }),
};

function readText(value: string | string[] | undefined): string | undefined {
    return Array.isArray(value) ? value[0] : value;
}

function toAmount(value: number | undefined): number | undefined {
    return value !== undefined && Number.isFinite(value) && value >= 0 ? value : undefined;
}

function readAmount(value: string | string[] | undefined): number | undefined {
    const text = readText(value);
    return text === undefined ? undefined : toAmount(Number(text));
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
        return { id: id ?? "", tokens: toAmount(Number(tokens)) ?? 0 };
    });
}

function listPassedHeaders(message: IncomingMessage, dropped: ReadonlySet<string>): readonly string[] {
    const { rawHeaders } = message;
    const named = new Set((message.headers.connection ?? "").toLowerCase().split(/\s*,\s*/));
    const passed: string[] = [];
    for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
        const name = rawHeaders[i] ?? "";
        const lowerCase = name.toLowerCase();
        if (!dropped.has(lowerCase) && !named.has(lowerCase)) {
            passed.push(name, rawHeaders[i + 1] ?? "");
        }
    }
    return passed;
}
