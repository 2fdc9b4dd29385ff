import { z } from "zod";

/** A prompt of a caller has a few shared parts; the body of a page's request bounds them, too. */
const MAX_PROMPT_PARTS = 64;
const MAX_TOKENS = 100_000_000;
const MAX_NAME_LENGTH = 255;
const MAX_KEY_LENGTH = 1024;
const MAX_PATH_LENGTH = 4096;

const name = z.string().min(1).max(MAX_NAME_LENGTH);
const tokens = z.number().int().min(0).max(MAX_TOKENS);

/** Shape of the body that the page `/explain/route` takes. */
export const routeQuerySchema = z.strictObject({
    /** Host without port. */
    host: z.string().min(1).max(MAX_NAME_LENGTH).toLowerCase(),
    path: z.string().max(MAX_PATH_LENGTH).regex(/^\//, "must begin with a slash"),
    /** Name of the client account, in place of its key. */
    account: name.optional(),
    /** Key of the client account; never part of an answer or a log line. */
    key: z.string().min(1).max(MAX_KEY_LENGTH).optional(),
    prompt: z.array(z.strictObject({ id: name, tokens }).readonly()).max(MAX_PROMPT_PARTS).readonly().default(
        [],
    ),
    /** Prompt tokens; by default, those of the prompt parts. */
    promptTokens: tokens.optional(),
    /** Most tokens that are generated. */
    outputTokens: tokens.default(0),
    /** Name of the model of a chat completion; a daemon finds the service by it. */
    model: name.optional(),
    /** With an identifier, the service of a route with several services is the one that this request would get. */
    requestId: name.optional(),
}).refine(query => query.account === undefined || query.key === undefined, {
    message: "account and key exclude each other",
}).readonly();
