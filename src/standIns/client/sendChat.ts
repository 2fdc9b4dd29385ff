import { request } from "undici";
import { computeAnswer } from "../shared/computeAnswer.js";

interface ChatOptions {
    /** Entry address, host:port. */
    readonly entry: string;
    readonly key: string;
    readonly model: string;
    readonly prompt: string;
    readonly stream: boolean;
    readonly minTokens: number;
    readonly maxTokens: number;
}

interface ChatResult {
    readonly status: number;
    readonly tokens: number;
    /** True if the answer equals byte by byte what the engine has to answer to this prompt. */
    readonly correct: boolean;
}

/** Sends one chat request and verifies the answer against its prompt. */
export async function sendChat(options: ChatOptions): Promise<ChatResult> {
    const expected = computeAnswer(options.prompt, options);
    const response = await request(`http://${options.entry}/v1/chat/completions`, {
        method: "POST",
        headers: { "authorization": `Bearer ${options.key}`, "content-type": "application/json" },
        body: JSON.stringify({
            model: options.model,
            stream: options.stream,
            messages: [{ role: "user", content: options.prompt }],
        }),
    });
    const text = await response.body.text();
    if (response.statusCode !== 200) {
        return { status: response.statusCode, tokens: 0, correct: false };
    }
    const received = options.stream ? parseStream(text) : parseWhole(text);
    return { status: 200, tokens: expected.length, correct: received === expected.join("") };
}

function parseWhole(text: string): string {
    const body = JSON.parse(text) as { choices: { message: { content: string; }; }[]; };
    return body.choices[0]?.message.content ?? "";
}

function parseStream(text: string): string | undefined {
    const events = text.split("\n\n").filter(event => event.startsWith("data: ")).map(event =>
        event.slice(6)
    );
    if (events.pop() !== "[DONE]") {
        return undefined;
    }
    const chunks = events.map(event => JSON.parse(event) as { index: number; token: string; });
    if (chunks.some((chunk, index) => chunk.index !== index)) {
        return undefined;
    }
    return chunks.map(chunk => chunk.token).join("");
}
