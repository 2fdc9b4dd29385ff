import type { IncomingMessage } from "node:http";
import { RequestFingerprint } from "../core/routing/requestFingerprint.js";
import { hashBytes } from "../shared/hashBytes.js";
import type { RequestHead } from "./requestHead.js";

/** Creates the fingerprint of a request of a client account, with its body if it has one. */
export function createFingerprint(
    incoming: IncomingMessage,
    { host, prompt }: RequestHead,
    account: string,
    body: Buffer | undefined,
): RequestFingerprint {
    return RequestFingerprint.create({
        method: incoming.method ?? "",
        host,
        path: incoming.url ?? "/",
        account,
        prompt,
        body,
        hashBytes,
    });
}
