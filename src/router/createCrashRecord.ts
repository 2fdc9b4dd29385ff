import murmurhash from "murmurhash";
import { CrashRecord } from "../core/routing/crashRecord.js";
import { RequestFingerprint } from "../core/routing/requestFingerprint.js";
import type { LogSink } from "./logSink.js";

/** Interval between the times from which two instances may try a refused request, in which its outcome spreads. */
const TRIAL_INTERVAL_MS = 400;

/**
 * Creates the record of an instance, which logs the prompt parts and requests that are refused or accepted again.
 *
 * @param countInstances Number of instances of the fleet.
 */
export function createCrashRecord(instance: string, log: LogSink, countInstances: () => number): CrashRecord {
    return CrashRecord.create({
        onBlockedChanged: (key, isBlocked) =>
            RequestFingerprint.isRequestKey(key)
                ? log.write("request-blocked-changed", { key, isBlocked })
                : log.write("prompt-part-changed", { part: key, isBlocked }),
        getTrialDelayMs: key => murmurhash.v3(`${instance} ${key}`) % countInstances() * TRIAL_INTERVAL_MS,
    });
}
