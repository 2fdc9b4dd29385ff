import { performance } from "node:perf_hooks";
import { SettingsError } from "../core/errors/settingsError.js";
import { StartStoppedError } from "../core/errors/startStoppedError.js";
import { readWholeJson } from "../shared/readWholeJson.js";
import type { DaemonSettings } from "./daemonSettings.js";
import { daemonSettingsSchema } from "./daemonSettingsSchema.js";

interface ReadOptions {
    /** Ends the wait for a whole file, because the process is to stop. */
    readonly stopSignal: AbortSignal;
    /** Called once, when the wait for a whole file begins. */
    readonly onWait: (reason: string) => void;
}

/** A file of this size is written in much less time. */
const FILE_WAIT_MS = 2000;

/**
 * Reads and checks the settings file of a daemon, which may be in the middle of being written.
 *
 * @throws SettingsError when the file cannot be read, is not JSON or has faults.
 * @throws StartStoppedError when the process is to stop.
 */
export async function readDaemonSettings(path: string, options: ReadOptions): Promise<DaemonSettings> {
    const result = daemonSettingsSchema.safeParse(await readJsonFile(path, options));
    if (result.success) {
        return result.data;
    }
    throw SettingsError.create(
        result.error.issues.map(issue => `${issue.path.join(".") || "settings"}: ${issue.message}`),
    );
}

async function readJsonFile(path: string, options: ReadOptions): Promise<unknown> {
    const getNow = (): number => performance.now();
    try {
        return JSON.parse(
            await readWholeJson(path, { ...options, deadline: getNow() + FILE_WAIT_MS, getNow }),
        );
    }
    catch (error) {
        if (error instanceof StartStoppedError) {
            throw error;
        }
        throw SettingsError.create([`${path}: ${error instanceof Error ? error.message : String(error)}`]);
    }
}
