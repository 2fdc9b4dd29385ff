import type { TargetDescriptor } from "../../../src/core/routing/targetDescriptor.js";

/** Makes a target of the service `s`. */
export function makeTargetDescriptor(id: string, fields: Partial<TargetDescriptor> = {}): TargetDescriptor {
    return {
        id,
        service: "s",
        address: `${id}:1`,
        dataCentre: "a",
        slots: 4,
        isDraining: false,
        coldUntil: 0,
        startedAtMs: 0,
        sequence: 0,
        version: "v1",
        ...fields,
    };
}
