import type { Configuration } from "./configuration.js";
import type { ConfigurationChange } from "./configurationChange.js";
import type { ObjectKind } from "./objectKind.js";
import { serializeCanonical } from "./serializeCanonical.js";

const KIND_LABELS: Readonly<Record<ObjectKind, string>> = {
    regions: "region",
    dataCentres: "data centre",
    shares: "share",
    clientAccounts: "client account",
    services: "service",
    targets: "target",
};

/** Describes one change in words, for example `target engine-1: slotLimit from 8 to 16`. */
export function describeConfigurationChange(change: ConfigurationChange, before: Configuration): string {
    const subject = `${KIND_LABELS[change.kind]} ${change.name}`;
    const after = change.value;
    const old = before[change.kind].find(object => object.name === change.name);
    if (!after) {
        return `${subject}: removed`;
    }
    if (!old) {
        return `${subject}: added`;
    }
    return `${subject}: ${describeFields(old as unknown as Readonly<Record<string, unknown>>, after)}`;
}

function describeFields(
    before: Readonly<Record<string, unknown>>,
    after: Readonly<Record<string, unknown>>,
): string {
    const fields = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort();
    return fields
        .filter(field =>
            serializeCanonical(before[field] ?? null) !== serializeCanonical(after[field] ?? null)
        )
        .map(field => describeField(field, before[field], after[field]))
        .join(", ");
}

function describeField(field: string, before: unknown, after: unknown): string {
    if (field === "inService") {
        return after === false ? "taken out of service" : "returned to service";
    }
    return `${field} from ${serializeCanonical(before ?? null)} to ${serializeCanonical(after ?? null)}`;
}
