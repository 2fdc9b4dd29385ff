import { createHash } from "node:crypto";
import type { ClientAccount } from "../../core/configuration/clientAccount.js";
import type { Configuration } from "../../core/configuration/configuration.js";
import { RequestError } from "../../core/errors/requestError.js";

/**
 * Finds the client account of a bearer key.
 *
 * @throws RequestError `unauthenticated` when the header is missing or no account has the key.
 */
export function authenticateCaller(
    authorization: string | undefined,
    configuration: Configuration,
): ClientAccount {
    const key = /^Bearer (\S+)$/i.exec(authorization ?? "")?.[1];
    if (key === undefined) {
        throw RequestError.create("unauthenticated", "The request has no bearer key.");
    }
    const digest = createHash("sha256").update(key).digest("hex");
    const account = configuration.clientAccounts.find(candidate => candidate.keyDigests.includes(digest));
    if (!account) {
        throw RequestError.create("unauthenticated", "No client account has this key.");
    }
    return account;
}
