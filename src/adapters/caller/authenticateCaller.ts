import type { ClientAccount } from "../../core/configuration/clientAccount.js";
import type { ConfigurationIndex } from "../../core/configuration/configurationIndex.js";
import { RequestError } from "../../core/errors/requestError.js";
import { findAccount } from "./findAccount.js";
import { readBearerKey } from "./readBearerKey.js";

/**
 * Finds the client account of a bearer key.
 *
 * @throws RequestError `unauthenticated` when the header is missing or no account has the key.
 */
export function authenticateCaller(
    authorization: string | undefined,
    index: ConfigurationIndex,
): ClientAccount {
    const account = findAccount(authorization, index);
    if (!account) {
        const hasKey = readBearerKey(authorization) !== undefined;
        throw RequestError.create(
            "unauthenticated",
            hasKey ? "No client account has this key." : "The request has no bearer key.",
        );
    }
    return account;
}
