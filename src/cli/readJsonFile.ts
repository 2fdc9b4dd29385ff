import { readFile } from "node:fs/promises";
import { SettingsError } from "../core/errors/settingsError.js";

/**
 * Reads a JSON file named on the command line.
 *
 * @throws SettingsError when it cannot be read or is not JSON.
 */
export async function readJsonFile(path: string): Promise<unknown> {
    try {
        return JSON.parse(await readFile(path, "utf8")) as unknown;
    }
    catch (error) {
        throw SettingsError.create([`${path}: ${error instanceof Error ? error.message : String(error)}`]);
    }
}
