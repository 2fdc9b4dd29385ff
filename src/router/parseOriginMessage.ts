import type { ToldHistory } from "../core/streams/toldHistory.js";
import { messageChecks } from "./messageChecks.js";
import type { OriginMessage } from "./originMessage.js";

const { isTuple, isListOf, isAmount } = messageChecks;

/** Names come from the configuration and from registrations, which the store limits, too. */
const MAX_NAME_LENGTH = 500;

const PARTS_BY_KIND: Readonly<Record<OriginMessage[0], readonly ((value: unknown) => boolean)[]>> = {
    "records": [],
    "question": [isAmount, isKey, isName, isName, isOptionalAmount],
    "answer": [isAmount, isKey, isDigest],
    "history-request": [isAmount],
    "history": [isAmount, isHistory],
    "new-version": [isName, isOptionalName],
    "version-confirmed": [isName, isOptionalName],
    "version-known": [isName, isOptionalName],
};

/** Validates a datagram about the origins of streams. Returns `undefined` if it is none. */
export function parseOriginMessage(message: readonly unknown[]): OriginMessage | undefined {
    const [kind, ...parts] = message;
    if (typeof kind !== "string" || !Object.hasOwn(PARTS_BY_KIND, kind)) {
        return undefined;
    }
    const isValid = kind === "records"
        ? isListOf(parts, isRecord)
        : isTuple(parts, PARTS_BY_KIND[kind as OriginMessage[0]]);
    return isValid ? message as OriginMessage : undefined;
}

function isRecord(value: unknown): boolean {
    return typeof value === "string" && /^[\w-]{11}([\w-]{6})?$/.test(value);
}

function isKey(value: unknown): boolean {
    return typeof value === "string" && /^[\w-]{11}$/.test(value);
}

function isDigest(value: unknown): boolean {
    return value === null || (typeof value === "string" && /^([\w-]{6})?$/.test(value));
}

function isName(value: unknown): boolean {
    return typeof value === "string" && value.length <= MAX_NAME_LENGTH;
}

function isOptionalAmount(value: unknown): boolean {
    return value === null || isAmount(value);
}

function isOptionalName(value: unknown): boolean {
    return value === null || isName(value);
}

function isHistory(value: unknown): boolean {
    const { confirmedAgeMs, coveredMs, routes, routesMs, versions } = (value ?? {}) as Partial<ToldHistory>;
    return isAmount(confirmedAgeMs) && isAmount(coveredMs) && isName(routes) && isAmount(routesMs)
        && isListOf(versions, entry => isTuple(entry, [isName, isOptionalName, isAmount]));
}
