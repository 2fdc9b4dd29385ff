import type { IncomingMessage } from "node:http";
import type { OpenBodies } from "../../core/bodies/openBodies.js";
import type { ClientAccount } from "../../core/configuration/clientAccount.js";
import type { ConfigurationIndex } from "../../core/configuration/configurationIndex.js";
import { RequestError } from "../../core/errors/requestError.js";
import type { HeldBytes } from "../../core/memory/heldBytes.js";
import type { CallerRequest } from "../../core/request/callerRequest.js";
import { selectEndToEndHeaders } from "../../core/request/selectEndToEndHeaders.js";
import { parseChat } from "./parseChat.js";
import { parseDeadline } from "./parseDeadline.js";
import { parseServicePath } from "./parseServicePath.js";
import { readBody } from "./readBody.js";
import { resolveService } from "./resolveService.js";

interface ReadOptions {
    readonly incoming: IncomingMessage;
    /** Holds the bytes of the body until the request has ended. */
    readonly held: HeldBytes;
    /** Bodies that are being read. */
    readonly openBodies: OpenBodies;
    readonly requestId: string;
    readonly account: ClientAccount;
    readonly index: ConfigurationIndex;
    /** Monotonic time in milliseconds. */
    readonly receivedAt: number;
}

const CHAT_PATH = "/v1/chat/completions";
/** Approximate; used for the prompt part of the cost hint. */
const BYTES_PER_TOKEN = 4;
const MAX_IDEMPOTENCY_KEY_LENGTH = 255;

/** Headers that the fleet sets itself, and the caller's key, which is not meant for targets. */
const PLAIN_DROPPED_HEADERS: ReadonlySet<string> = new Set([
    "host",
    "content-length",
    "authorization",
    "expect",
    "idempotency-key",
    "x-deadline-ms",
    "x-request-id",
    "x-fencing-number",
    "x-resume-from",
]);
/** `accept-encoding` is dropped as tokens and usage cannot be parsed in a compressed stream. */
const CHAT_DROPPED_HEADERS: ReadonlySet<string> = new Set([...PLAIN_DROPPED_HEADERS, "accept-encoding"]);

/**
 * Reads and validates a request of an authenticated caller.
 *
 * @throws RequestError when the request cannot be executed as it is.
 */
export async function readCallerRequest(options: ReadOptions): Promise<CallerRequest> {
    const { incoming } = options;
    const path = parseServicePath(incoming.url);
    if (path?.kind === "model") {
        if (incoming.method !== "POST") {
            throw RequestError.create("method-not-allowed", `${CHAT_PATH} takes POST.`);
        }
        return readChat(options);
    }
    if (!path) {
        throw RequestError.create("unknown-route", "There is nothing at this path.");
    }
    return readPlain(options, path.name, path.rest);
}

async function readChat(options: ReadOptions): Promise<CallerRequest> {
    const { account, incoming, index } = options;
    const common = parseCommon(options);
    const models = account.services.map(name => index.services.get(name))
        .filter(service => service?.kind === "model");
    const maxBytes = Math.max(0, ...models.map(service => service?.maxBodyBytes ?? 0));
    const body = await readBody(incoming, maxBytes, options);
    const chat = parseChat(body);
    const service = resolveService(index, account, "model", chat.model);
    if (body.length > service.maxBodyBytes) {
        throw RequestError.create("body-too-large", `The body is larger than ${service.maxBodyBytes} bytes.`);
    }
    return {
        ...common,
        service,
        path: CHAT_PATH,
        headers: selectEndToEndHeaders(incoming.headers, CHAT_DROPPED_HEADERS),
        body,
        isStream: chat.stream ?? false,
        hintedCost: chat.max_tokens
            ? chat.max_tokens + Math.ceil(body.length / BYTES_PER_TOKEN)
            : undefined,
    };
}

async function readPlain(options: ReadOptions, name: string, rest: string): Promise<CallerRequest> {
    const { account, incoming, index } = options;
    const common = parseCommon(options);
    const service = resolveService(index, account, "plain", name);
    const body = await readBody(incoming, service.maxBodyBytes, options);
    return {
        ...common,
        service,
        path: rest.startsWith("/") ? rest : `/${rest}`,
        headers: selectEndToEndHeaders(incoming.headers, PLAIN_DROPPED_HEADERS),
        body: body.length > 0 ? body : undefined,
        isStream: false,
        hintedCost: service.requestCost,
    };
}

function parseCommon(
    options: ReadOptions,
): Pick<CallerRequest, "requestId" | "account" | "method" | "idempotencyKey" | "receivedAt" | "deadline"> {
    const { account, incoming, receivedAt, requestId } = options;
    const key = incoming.headers["idempotency-key"];
    if (
        key !== undefined
        && (typeof key !== "string" || key === "" || key.length > MAX_IDEMPOTENCY_KEY_LENGTH)
    ) {
        throw RequestError.create(
            "malformed-idempotency-key",
            `Idempotency-Key must be one value of 1 to ${MAX_IDEMPOTENCY_KEY_LENGTH} characters.`,
        );
    }
    return {
        requestId,
        account,
        method: incoming.method ?? "GET",
        idempotencyKey: key,
        receivedAt,
        deadline: parseDeadline(incoming.headers["x-deadline-ms"], receivedAt),
    };
}
