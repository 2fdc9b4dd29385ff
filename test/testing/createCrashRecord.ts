import { CrashRecord } from "../../src/core/routing/crashRecord.js";

/** Creates a record without crashes, whose instance makes trials as soon as they are due. */
export function createCrashRecord(
    onBlockedChanged: (key: string, isBlocked: boolean) => void = () => undefined,
): CrashRecord {
    return CrashRecord.create({ onBlockedChanged, getTrialDelayMs: () => 0 });
}
