import type { AcceptedBundle } from "../../core/configuration/acceptedBundle.js";
import type { BundleCheck } from "../../core/configuration/bundleCheck.js";
import { checkBundle } from "../../core/configuration/checkBundle.js";
import { checkDelta } from "../../core/configuration/checkDelta.js";
import type { ConfigurationDelta } from "../../core/configuration/configurationDelta.js";
import { configurationDeltaSchema } from "../../core/configuration/configurationDeltaSchema.js";
import { hashText } from "../../shared/hashText.js";
import type { ConfigurationReply } from "../../transport/generated/baobabspread/peer/ConfigurationReply.js";

/**
 * Decodes and checks the bundle in the reply of a peer. Returns `undefined` if there is none, or only a delta and no
 * base.
 *
 * @param base Bundle to which a delta is applied.
 * @throws SyntaxError or ZodError when the body cannot be read.
 */
export function decodeConfigurationReply(
    reply: Required<ConfigurationReply>,
    base: AcceptedBundle | undefined,
): BundleCheck | undefined {
    if (reply.form === "full") {
        return checkBundle(JSON.parse(reply.body), hashText);
    }
    if (reply.form !== "delta" || !base) {
        return undefined;
    }
    const delta = configurationDeltaSchema.parse(JSON.parse(reply.body)) as ConfigurationDelta;
    return checkDelta(base, delta, { revision: Number(reply.revision), digest: reply.digest }, hashText);
}
