import { applyConfigurationDelta } from "../../core/configuration/applyConfigurationDelta.js";
import type { BundleCheck } from "../../core/configuration/bundleCheck.js";
import { checkBundle } from "../../core/configuration/checkBundle.js";
import type { ConfigurationBundle } from "../../core/configuration/configurationBundle.js";
import type { ConfigurationChange } from "../../core/configuration/configurationChange.js";
import { configurationDeltaSchema } from "../../core/configuration/configurationDeltaSchema.js";
import type { ConfigurationReply } from "../../transport/generated/baobabspread/peer/ConfigurationReply.js";
import { hashText } from "./hashText.js";

/**
 * Returns the bundle that a peer passed on, or `undefined` if it has none that is newer.
 *
 * @param base Bundle to which a delta is applied.
 * @throws SyntaxError or ZodError when the body cannot be read.
 */
export function decodeConfigurationReply(
    reply: Required<ConfigurationReply>,
    base: ConfigurationBundle | undefined,
): BundleCheck | undefined {
    if (reply.form === "full") {
        return checkBundle(JSON.parse(reply.body), hashText);
    }
    if (reply.form !== "delta" || !base) {
        return undefined;
    }
    const delta = configurationDeltaSchema.parse(JSON.parse(reply.body)) as readonly ConfigurationChange[];
    return checkBundle({
        revision: Number(reply.revision),
        digest: reply.digest,
        configuration: applyConfigurationDelta(base.configuration, delta),
    }, hashText);
}
