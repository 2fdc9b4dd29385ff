import { computeResponseTokens } from "../shared/computeResponseTokens.js";
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
    const tokens = computeResponseTokens(prompt, settings);
    const usage = { prompt_tokens: prompt.split(/\s+/).length, completion_tokens: tokens.length };
    const firstIndex = Math.min(Number(exchange.headers["x-resume-from"] ?? 0), tokens.length);
    let nextIndex = firstIndex;
    exchange.addTokens(usage.prompt_tokens);
    if (body.stream) {
        exchange.setHeader("content-type", "text/event-stream");
    }
    await batch.run(tokens.length - firstIndex, count => {
        exchange.addTokens(count);
        for (const end = nextIndex + count; nextIndex < end; nextIndex += 1) {
            if (body.stream) {
                writeToken(
                    exchange,
                    { index: nextIndex, token: tokens[nextIndex] },
                    nextIndex === tokens.length - 1,
                    usage,
                );
            }
        }
    }, exchange.signal);
    if (exchange.signal.aborted || exchange.writer.broken) {
        return false;
    }
    if (body.stream) {
        exchange.writer.endStream("data: [DONE]\n\n");
        return true;
    }
    exchange.writer.sendBody(
        "application/json",
        JSON.stringify({
            choices: [{ message: { role: "assistant", content: tokens.slice(firstIndex).join("") } }],
            usage,
        }),
    );
    return !exchange.writer.broken;
}

function writeToken(exchange: TargetExchange, chunk: object, last: boolean, usage: object): void {
    exchange.writer.writeEvent(`data: ${JSON.stringify(last ? { ...chunk, usage } : chunk)}\n\n`);
}
