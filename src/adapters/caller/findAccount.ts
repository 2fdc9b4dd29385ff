import type { ClientAccount } from "../../core/configuration/clientAccount.js";
import type { ConfigurationIndex } from "../../core/configuration/configurationIndex.js";
import { hashText } from "../../shared/hashText.js";
import { readBearerKey } from "./readBearerKey.js";

/** Finds the client account of an `Authorization` header; `undefined` if no account has its key, or no configuration is known. */
export function findAccount(
    authorization: string | undefined,
    index: ConfigurationIndex | undefined,
): ClientAccount | undefined {
    const key = readBearerKey(authorization);
    return key === undefined ? undefined : index?.accountsByKeyDigest.get(hashText(key));
}
