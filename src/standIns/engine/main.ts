import { computeAnswer } from "../shared/computeAnswer.js";
import { readSettings } from "../shared/readSettings.js";
import { targetDefaults } from "../target/targetDefaults.js";
import type { TargetExchange } from "../target/targetExchange.js";
import { TargetServer } from "../target/targetServer.js";
import type { EngineSettings } from "./engineSettings.js";
import { TokenBatch } from "./tokenBatch.js";

interface ChatRequest {
    readonly messages: readonly { readonly content: string; }[];
    readonly stream?: boolean;
}

const settings = readSettings<EngineSettings>({
    ...targetDefaults,
    name: "engine",
    tokenIntervalMs: 2,
    promptMs: 0,
    minTokens: 4,
    maxTokens: 40,
});
const batch = TokenBatch.create(settings.tokenIntervalMs, settings.promptMs);
await TargetServer.create({ settings, serve: serveChat });

async function serveChat(exchange: TargetExchange): Promise<boolean> {
    const body = JSON.parse(exchange.body) as ChatRequest;
    const prompt = body.messages.map(message => message.content).join("\n");
    const tokens = computeAnswer(prompt, settings);
    const usage = { prompt_tokens: prompt.split(/\s+/).length, completion_tokens: tokens.length };
    const first = Math.min(Number(exchange.headers["x-resume-from"] ?? 0), tokens.length);
    let next = first;
    exchange.addTokens(usage.prompt_tokens);
    if (body.stream) {
        exchange.setHeader("content-type", "text/event-stream");
    }
    await batch.run(tokens.length - first, count => {
        exchange.addTokens(count);
        for (const end = next + count; next < end; next += 1) {
            if (body.stream) {
                writeToken(exchange, { index: next, token: tokens[next] }, next === tokens.length - 1, usage);
            }
        }
    }, exchange.signal);
    if (exchange.signal.aborted || exchange.writer.broken) {
        return false;
    }
    if (body.stream) {
        exchange.writer.end("data: [DONE]\n\n");
        return true;
    }
    exchange.writer.sendWhole(
        "application/json",
        JSON.stringify({
            choices: [{ message: { role: "assistant", content: tokens.slice(first).join("") } }],
            usage,
        }),
    );
    return !exchange.writer.broken;
}

function writeToken(exchange: TargetExchange, chunk: object, last: boolean, usage: object): void {
    exchange.writer.write(`data: ${JSON.stringify(last ? { ...chunk, usage } : chunk)}\n\n`);
}
