import { isIPv4 } from "node:net";
import type { TargetDescriptor } from "../core/routing/targetDescriptor.js";

/** Identifiers go into a header; a slash would name an entry below that of a target. */
const ID_PATTERN = /^[!-.0-~]+$/;
const MAX_NAME_LENGTH = 200;
const PORT_PATTERN = /^[1-9]\d{0,4}$/;
const MAX_PORT = 65_535;

/**
 * Decodes the registration of a target in the store. Returns `undefined` if a field is missing or invalid, since other
 * writers may leave entries that are no registrations: a target with an impossible address or an endless number of slots
 * would get requests that fail.
 */
export function decodeTarget(id: string, value: Buffer, now: number): TargetDescriptor | undefined {
    let fields: Readonly<Record<string, unknown>>;
    try {
        fields = JSON.parse(value.toString("utf8")) as Readonly<Record<string, unknown>>;
    }
    catch {
        return undefined;
    }
    if (typeof fields !== "object" || fields === null) {
        return undefined;
    }
    const { service, address, zone, slots, state, coldRemainingMs, born, sequence, version } = fields;
    const isValid = ID_PATTERN.test(id) && isName(service) && isName(zone)
        && typeof address === "string" && isAddress(address)
        && isCount(slots) && slots > 0 && (state === "ready" || state === "draining")
        && isMissingOr(coldRemainingMs, isDuration) && isMissingOr(born, isCount)
        && isMissingOr(sequence, isCount);
    if (!isValid) {
        return undefined;
    }
    return {
        id,
        service,
        address,
        dataCentre: zone,
        slots,
        isDraining: state === "draining",
        coldUntil: now + Math.max(0, coldRemainingMs ?? 0),
        startedAtMs: born ?? 0,
        sequence: sequence ?? 0,
        version: typeof version === "string" ? version : undefined,
    };
}

function isName(value: unknown): value is string {
    return typeof value === "string" && value.length > 0 && value.length <= MAX_NAME_LENGTH;
}

/** Returns whether a text is an IPv4 address with a port to which a connection can be opened. */
function isAddress(text: string): boolean {
    const [host, port, ...rest] = text.split(":");
    return rest.length === 0 && isIPv4(host ?? "") && PORT_PATTERN.test(port ?? "")
        && Number(port) <= MAX_PORT;
}

function isCount(value: unknown): value is number {
    return Number.isSafeInteger(value) && Number(value) >= 0;
}

function isDuration(value: unknown): value is number {
    return typeof value === "number" && Math.abs(value) <= Number.MAX_SAFE_INTEGER;
}

/** Returns whether a field that may be missing has the expected type. */
function isMissingOr<T>(value: unknown, isExpected: (value: unknown) => value is T): value is T | undefined {
    return value === undefined || isExpected(value);
}
