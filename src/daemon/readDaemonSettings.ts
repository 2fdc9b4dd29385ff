import { readFile } from "node:fs/promises";
import { SettingsError } from "../core/errors/settingsError.js";
import type { DaemonSettings } from "./daemonSettings.js";
import { daemonSettingsSchema } from "./daemonSettingsSchema.js";

/**
 * Reads and checks the settings file of a daemon.
 *
 * @throws SettingsError when the file cannot be read, is not JSON or has faults.
 */
export async function readDaemonSettings(path: string): Promise<DaemonSettings> {
    const result = daemonSettingsSchema.safeParse(await readJsonFile(path));
    if (result.success) {
        return result.data;
    }
    throw SettingsError.create(
        result.error.issues.map(issue => `${issue.path.join(".") || "settings"}: ${issue.message}`),
    );
}

async function readJsonFile(path: string): Promise<unknown> {
    try {
        return JSON.parse(await readFile(path, "utf8"));
    }
    catch (error) {
        throw SettingsError.create([`${path}: ${error instanceof Error ? error.message : String(error)}`]);
    }
}
