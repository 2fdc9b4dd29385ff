import type { MemberRecord } from "../core/routing/memberRecord.js";
import type { MemberStatus } from "../core/routing/memberStatus.js";

/** A report with more entries of one kind, or with a larger amount, is taken for damaged. */
const MAX_ENTRIES = 5000;
const MAX_AMOUNT = 1e12;
/** Clocks of instances may be wrong by less than this; a start later than that would outrank the instance for good. */
const MAX_CLOCK_LEAD_MS = 600_000;

/** Checks of the values in datagrams of peers. */
export const messageChecks = {
    isListOf,
    isTuple,
    isText,
    isAmount,
    isCount,
    isOutcome,
    isStatus,
    isMember,
    /** Latest start of an instance, in Unix milliseconds, that is believed at a time of day. */
    getLatestIncarnation: (timeOfDay: number): number => timeOfDay + MAX_CLOCK_LEAD_MS,
};

function isListOf(value: unknown, isEntry: (entry: unknown) => boolean): boolean {
    return Array.isArray(value) && value.length <= MAX_ENTRIES && value.every(isEntry);
}

function isTuple(value: unknown, checks: readonly ((entry: unknown) => boolean)[]): boolean {
    return Array.isArray(value) && value.length === checks.length
        && checks.every((check, i) => check(value[i]));
}

function isText(value: unknown): boolean {
    return typeof value === "string";
}

function isAmount(value: unknown): boolean {
    return typeof value === "number" && value >= 0 && value <= MAX_AMOUNT;
}

function isCount(value: unknown): boolean {
    return isSequence(value) && Number(value) <= MAX_ENTRIES;
}

function isSequence(value: unknown): boolean {
    return typeof value === "number" && Number.isSafeInteger(value) && value >= 0;
}

function isIncarnation(value: unknown, latest: number): boolean {
    return isSequence(value) && Number(value) <= latest;
}

function isOutcome(value: unknown): boolean {
    return isTuple(value, [
        isText,
        kind => kind === "crash" || kind === "success",
        isAmount,
        isAmount,
        isText,
    ]);
}

function isState(value: unknown): value is MemberRecord["state"] {
    return ["open", "busy", "limited", "closed"].includes(value as string);
}

function isStatus(value: unknown, latestIncarnation: number): value is MemberStatus {
    return isTuple(value, [
        isText,
        incarnation => isIncarnation(incarnation, latestIncarnation),
        isSequence,
        isState,
    ]);
}

function isAddress(value: unknown): boolean {
    return typeof value === "string" && /^\d{1,3}(\.\d{1,3}){3}(:\d{1,5})?$/.test(value);
}

function isMember(value: unknown, latestIncarnation: number): value is MemberRecord {
    const record = value as Partial<MemberRecord> | null;
    return typeof record === "object" && record !== null
        && [record.name, record.dataCentre, record.region].every(isText)
        && [record.ip, record.callerAddress].every(isAddress)
        && isIncarnation(record.incarnation, latestIncarnation) && isSequence(record.sequence)
        && isAmount(record.weight) && isState(record.state);
}
