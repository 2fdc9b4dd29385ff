import { checkPublishedBundle } from "../core/configuration/checkPublishedBundle.js";
import type { ConfigurationCheck } from "../core/configuration/configurationCheck.js";
import { validateConfiguration } from "../core/configuration/validateConfiguration.js";
import { hashText } from "../shared/hashText.js";
import { buildPublishedBundle } from "./buildPublishedBundle.js";
import { decodeText } from "./decodeText.js";
import { readJsonFile } from "./readJsonFile.js";

/** The revision of the largest bundle, used to check the size. */
const LONGEST_REVISION = Number.MAX_SAFE_INTEGER;

/**
 * Reads and validates a configuration or a bundle, plain or compressed, and checks its published size.
 *
 * @throws SettingsError when the file cannot be read or is not JSON.
 */
export async function readConfigurationFile(path: string): Promise<ConfigurationCheck> {
    const value = await readJsonFile(path);
    const { configuration, faults } = checkValue(value);
    if (!configuration) {
        return { configuration, faults };
    }
    const sizeFaults = buildPublishedBundle(configuration, LONGEST_REVISION).faults;
    return { configuration: sizeFaults.length === 0 ? configuration : undefined, faults: sizeFaults };
}

function checkValue(value: unknown): ConfigurationCheck {
    const isBundle = typeof value === "object" && value !== null
        && ("configuration" in value || "encoding" in value);
    if (!isBundle) {
        return validateConfiguration(value);
    }
    const { bundle, faults } = checkPublishedBundle(value, { hashText, decodeText });
    return { configuration: bundle?.effective, faults };
}
