import type { Dispatcher } from "undici";
import { request } from "undici";
import type { Outcome } from "../../core/errors/outcome.js";
import type { CallResult } from "./callResult.js";
import type { ExchangeOptions } from "./exchangeOptions.js";

interface Exchange extends ExchangeOptions {
    readonly service: string;
    readonly marker: string;
    readonly method: string;
    readonly path: string;
    readonly body: string;
    readonly idempotencyKey: string | undefined;
    /** Reads and checks a response with a status below 400; throws when the connection breaks. */
    readonly verify: (response: Dispatcher.ResponseData, onToken: () => void) => Promise<Verdict>;
}

interface Verdict {
    readonly verdict: CallResult["verdict"];
    readonly tokens: number;
    readonly problem?: { readonly outcome?: string; readonly code?: string; } | undefined;
}

/** Error codes from before a connection was made, so that nothing was sent. */
const UNREACHABLE_CODES: ReadonlySet<string> = new Set(["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT"]);

/** Sends one request; never throws, as the result reports every failure. */
export async function sendExchange(exchange: Exchange): Promise<CallResult> {
    const startMs = Date.now();
    let firstTokenMs: number | undefined;
    let status = 0;
    let requestId: string | undefined;
    const createResult = (verdict: Verdict): CallResult => ({
        account: exchange.account ?? "",
        service: exchange.service,
        marker: exchange.marker,
        idempotencyKey: exchange.idempotencyKey,
        verdict: verdict.verdict,
        status,
        outcome: verdict.problem?.outcome as Outcome | undefined,
        code: verdict.problem?.code,
        entry: exchange.entry,
        requestId,
        tokens: verdict.tokens,
        startMs,
        firstTokenMs,
        endMs: Date.now(),
        correct: verdict.verdict === "verified",
    });
    try {
        const response = await request(`http://${exchange.entry}${exchange.path}`, {
            method: exchange.method as Dispatcher.HttpMethod,
            headers: buildHeaders(exchange),
            body: exchange.body === "" ? null : exchange.body,
            headersTimeout: 0,
            bodyTimeout: 0,
            ...exchange.signal ? { signal: exchange.signal } : {},
            ...exchange.dispatcher ? { dispatcher: exchange.dispatcher } : {},
        });
        status = response.statusCode;
        requestId = response.headers["x-request-id"]?.toString();
        if (status >= 400) {
            const problem = await readProblem(response);
            return createResult({ verdict: "refused", tokens: 0, problem });
        }
        return createResult(await exchange.verify(response, () => firstTokenMs ??= Date.now()));
    }
    catch (error) {
        const unreachable = UNREACHABLE_CODES.has((error as { code?: string; }).code ?? "");
        return createResult({ verdict: unreachable ? "unreachable" : "incomplete", tokens: 0 });
    }
}

function buildHeaders(exchange: Exchange): Record<string, string> {
    return {
        "authorization": `Bearer ${exchange.key}`,
        "content-type": "application/json",
        ...exchange.idempotencyKey === undefined ? {} : { "idempotency-key": exchange.idempotencyKey },
        ...exchange.deadlineMs === undefined ? {} : { "x-deadline-ms": String(exchange.deadlineMs) },
    };
}

async function readProblem(response: Dispatcher.ResponseData): Promise<Verdict["problem"]> {
    const text = await response.body.text();
    try {
        return JSON.parse(text) as Verdict["problem"];
    }
    catch {
        return undefined;
    }
}
