import type { IncomingMessage } from "node:http";

/** Reads a request body and parses it as JSON; an empty body gives `undefined`. */
export async function readJsonBody(request: IncomingMessage): Promise<unknown> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
        chunks.push(chunk as Buffer);
    }
    const text = Buffer.concat(chunks).toString("utf8");
    return text === "" ? undefined : JSON.parse(text) as unknown;
}
