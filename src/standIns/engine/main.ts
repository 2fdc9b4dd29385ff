import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { computeAnswer } from "../shared/computeAnswer.js";
import { readJsonBody } from "../shared/readJsonBody.js";
import { readSettings } from "../shared/readSettings.js";
import { startHttpServer } from "../shared/startHttpServer.js";
import type { EngineSettings } from "./engineSettings.js";

interface ChatRequest {
    readonly messages: readonly { readonly content: string; }[];
    readonly stream?: boolean;
}

const settings = readSettings<EngineSettings>({
    name: "engine",
    slotLimit: 8,
    tokenIntervalMs: 2,
    minTokens: 4,
    maxTokens: 40,
});
const epoch = `${process.pid}-${Date.now()}`;
let running = 0;

await startHttpServer(settings.name, (request, response) => {
    if (request.url === "/v1/load") {
        response.end(
            JSON.stringify({
                epoch,
                state: "warm",
                running,
                bearable: settings.slotLimit,
                measuredAtMs: Date.now(),
            }),
        );
        return;
    }
    void serveChat(request, response);
});

async function serveChat(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readJsonBody(request) as ChatRequest;
    const prompt = body.messages.map(message => message.content).join("\n");
    const tokens = computeAnswer(prompt, settings);
    const usage = { prompt_tokens: prompt.split(/\s+/).length, completion_tokens: tokens.length };
    running += 1;
    try {
        if (!body.stream) {
            await sleep(settings.tokenIntervalMs * tokens.length);
            response.setHeader("content-type", "application/json");
            response.end(
                JSON.stringify({
                    choices: [{ message: { role: "assistant", content: tokens.join("") } }],
                    usage,
                }),
            );
            return;
        }
        response.setHeader("content-type", "text/event-stream");
        for (const [index, token] of tokens.entries()) {
            await sleep(settings.tokenIntervalMs);
            const last = index === tokens.length - 1;
            response.write(`data: ${JSON.stringify(last ? { index, token, usage } : { index, token })}\n\n`);
        }
        response.end("data: [DONE]\n\n");
    }
    finally {
        running -= 1;
    }
}
