import type { TargetEntry } from "../../../src/core/routing/targetEntry.js";

/** Makes a target of the service `s`. */
export function makeTargetEntry(id: string, fields: Partial<TargetEntry> = {}): TargetEntry {
    return {
        id,
        service: "s",
        address: `${id}:1`,
        dataCentre: "a",
        slots: 4,
        isDraining: false,
        coldUntil: 0,
        startedAtMs: 0,
        ...fields,
    };
}
