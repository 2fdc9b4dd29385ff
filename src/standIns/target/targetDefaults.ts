import type { TargetSettings } from "./targetSettings.js";

/** Settings of a target that starts warm and crashes after 500 ms of overload. */
export const targetDefaults: TargetSettings = {
    name: "target",
    slotLimit: 8,
    coldLimit: 1,
    startsCold: false,
    warmRequestsPerSlot: 4,
    warmMsPerSlot: 2_000,
    loadLagMs: 0,
    checksFencing: false,
    overloadGraceMs: 500,
    overloadFactor: 3,
    downMs: 1_000,
    requestCost: 100,
};
