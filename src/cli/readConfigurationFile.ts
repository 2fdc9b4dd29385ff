import { checkBundle } from "../core/configuration/checkBundle.js";
import type { ConfigurationCheck } from "../core/configuration/configurationCheck.js";
import { validateConfiguration } from "../core/configuration/validateConfiguration.js";
import { hashText } from "./hashText.js";
import { readJsonFile } from "./readJsonFile.js";

/**
 * Reads and checks a configuration or a bundle.
 *
 * @throws SettingsError when the file cannot be read or is not JSON.
 */
export async function readConfigurationFile(path: string): Promise<ConfigurationCheck> {
    const value = await readJsonFile(path);
    if (typeof value !== "object" || value === null || !("configuration" in value)) {
        return validateConfiguration(value);
    }
    const { bundle, faults } = checkBundle(value, hashText);
    return { configuration: bundle?.effective, faults };
}
