import { z } from "zod";
import { RequestError } from "../../core/errors/requestError.js";

const chatSchema = z.looseObject({
    model: z.string(),
    stream: z.boolean().nullish(),
    max_tokens: z.number().int().positive().nullish(),
});

/**
 * Validates the fields of a chat request that the fleet needs; all others are left to the engine.
 *
 * @throws RequestError `malformed-request`
 */
export function parseChat(body: Buffer): z.output<typeof chatSchema> {
    const result = chatSchema.safeParse(tryParseJson(body));
    if (result.success) {
        return result.data;
    }
    throw RequestError.create(
        "malformed-request",
        `The body is not a chat request: ${
            result.error.issues.map(issue => `${issue.path.join(".") || "body"}: ${issue.message}`).join("; ")
        }`,
    );
}

function tryParseJson(body: Buffer): unknown {
    try {
        return JSON.parse(body.toString("utf8"));
    }
    catch {
        return undefined;
    }
}
