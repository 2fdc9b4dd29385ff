import type { Dispatcher } from "undici";
import { computeResponseTokens } from "../shared/computeResponseTokens.js";
import { parseMarker } from "../target/parseMarker.js";
import type { CallResult } from "./callResult.js";
import type { ExchangeOptions } from "./exchangeOptions.js";
import { sendExchange } from "./sendExchange.js";
import { StreamVerifier } from "./streamVerifier.js";

interface ChatOptions extends ExchangeOptions {
    readonly model: string;
    readonly prompt: string;
    readonly stream: boolean;
    /** Bounds of the response length in tokens; they must equal the settings of the engines. */
    readonly minTokens: number;
    readonly maxTokens: number;
    /** Value of `max_tokens`, a hint that may be wrong; engine stand-ins ignore it. @default no hint */
    readonly hintedTokens?: number;
}

/** Sends one chat request and verifies the response, which follows from the prompt. */
export function sendChat(options: ChatOptions): Promise<CallResult> {
    const expected = computeResponseTokens(options.prompt, options);
    return sendExchange({
        ...options,
        service: options.model,
        marker: parseMarker(options.prompt, "request"),
        method: "POST",
        path: "/v1/chat/completions",
        idempotencyKey: undefined,
        body: JSON.stringify({
            model: options.model,
            stream: options.stream,
            ...options.hintedTokens === undefined ? {} : { max_tokens: options.hintedTokens },
            messages: [{ role: "user", content: options.prompt }],
        }),
        verify: (response, onToken) =>
            options.stream ? verifyStream(response, expected, onToken) : verifyUnstreamed(response, expected),
    });
}

async function verifyStream(
    response: Dispatcher.ResponseData,
    expected: readonly string[],
    onToken: () => void,
): ReturnType<Parameters<typeof sendExchange>[0]["verify"]> {
    const verifier = StreamVerifier.create(expected);
    const decoder = new TextDecoder();
    try {
        for await (const chunk of response.body) {
            verifier.push(decoder.decode(chunk as Buffer, { stream: true }));
            onToken();
        }
    }
    catch {
        return { verdict: verifier.state === "wrong" ? "wrong" : "incomplete", tokens: verifier.tokens };
    }
    const { state, tokens, problem } = verifier;
    if (state === "done") {
        return { verdict: "verified", tokens };
    }
    // A stream that ends with neither [DONE] nor an error event looks complete to an HTTP client.
    return { verdict: state === "error" ? "incomplete" : "wrong", tokens, problem };
}

async function verifyUnstreamed(
    response: Dispatcher.ResponseData,
    expected: readonly string[],
): ReturnType<Parameters<typeof sendExchange>[0]["verify"]> {
    const text = await response.body.text();
    return readContent(text) === expected.join("")
        ? { verdict: "verified", tokens: expected.length }
        : { verdict: "wrong", tokens: 0 };
}

function readContent(text: string): string | undefined {
    try {
        const body = JSON.parse(text) as { choices?: { message: { content: string; }; }[]; };
        return body.choices?.[0]?.message.content;
    }
    catch {
        return undefined;
    }
}
