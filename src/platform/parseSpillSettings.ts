import type { SpillSettings } from "../core/spill/spillSettings.js";

interface ParsedSpill {
    /** Faults, each with the name of its setting. */
    readonly faults: readonly string[];
    /** `undefined` if the group is absent. */
    readonly settings: SpillSettings | undefined;
}

const DEFAULTS: SpillSettings = {
    sameRegionWaitMsPerMb: 1,
    otherRegionWaitMsPerMb: 10,
    minGainMs: 10,
    needsReportedSpeeds: false,
};
/** An hour of a caller's wait for a megabyte, and a minute of gain; beyond that nothing would ever leave. */
const LIMITS: Omit<SpillSettings, "needsReportedSpeeds"> = {
    sameRegionWaitMsPerMb: 3_600_000,
    otherRegionWaitMsPerMb: 3_600_000,
    minGainMs: 60_000,
};

/** Parses the settings group `spill`; settings that it does not name get their defaults. */
export function parseSpillSettings(value: unknown): ParsedSpill {
    if (value === undefined) {
        return { faults: [], settings: undefined };
    }
    if (typeof value !== "object" || value === null || Array.isArray(value)) {
        return { faults: ["spill: not a group of settings"], settings: undefined };
    }
    const limits = new Map(Object.entries(LIMITS) as readonly (readonly [string, number])[]);
    const faults = Object.entries(value).flatMap(([name, setting]) => {
        if (name === "needsReportedSpeeds") {
            return typeof setting === "boolean" ? [] : [`spill.${name}: not true or false`];
        }
        const limit = limits.get(name);
        if (limit === undefined) {
            return [`spill.${name}: unknown`];
        }
        const isValid = typeof setting === "number" && setting >= 0 && setting <= limit;
        return isValid ? [] : [`spill.${name}: not a number from 0 to ${limit}`];
    });
    return { faults, settings: { ...DEFAULTS, ...value } };
}
