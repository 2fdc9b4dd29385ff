import type { ClientAccount } from "../../core/configuration/clientAccount.js";
import type { ConfigurationIndex } from "../../core/configuration/configurationIndex.js";
import { RequestError } from "../../core/errors/requestError.js";
import { hashText } from "../../shared/hashText.js";

/**
 * Finds the client account of a bearer key.
 *
 * @throws RequestError `unauthenticated` when the header is missing or no account has the key.
 */
export function authenticateCaller(
    authorization: string | undefined,
    index: ConfigurationIndex,
): ClientAccount {
    const key = /^Bearer (\S+)$/i.exec(authorization ?? "")?.[1];
    if (key === undefined) {
        throw RequestError.create("unauthenticated", "The request has no bearer key.");
    }
    const account = index.accountsByKeyDigest.get(hashText(key));
    if (!account) {
        throw RequestError.create("unauthenticated", "No client account has this key.");
    }
    return account;
}
