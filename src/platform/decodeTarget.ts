import type { TargetDescriptor } from "../core/routing/targetDescriptor.js";

/**
 * Decodes the registration of a target in the store. Returns `undefined` if a field is missing or invalid, since other
 * writers may leave entries that are no registrations.
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
    const isValid = typeof service === "string" && typeof address === "string"
        && /^\d+\.\d+\.\d+\.\d+:\d+$/.test(address) && typeof zone === "string"
        && typeof slots === "number" && Number.isInteger(slots) && slots > 0
        && (state === "ready" || state === "draining");
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
        coldUntil: now + (typeof coldRemainingMs === "number" ? Math.max(0, coldRemainingMs) : 0),
        startedAtMs: typeof born === "number" ? born : 0,
        sequence: typeof sequence === "number" && sequence > 0 ? sequence : 0,
        version: typeof version === "string" ? version : undefined,
    };
}
