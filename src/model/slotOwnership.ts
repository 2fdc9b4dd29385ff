import { createSlotLeases } from "./slotLeases/createSlotLeases.js";

/** A second owner takes over the pool while the first keeps running; docs/design.md, section 3.2. */
export const slotOwnership = createSlotLeases({
    name: "slot leases: change of owner",
    slotLimit: 1,
    takeovers: 1,
    faults: 0,
    ticks: 4,
});
