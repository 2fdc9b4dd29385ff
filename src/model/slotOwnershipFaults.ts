import { createSlotLeases } from "./slotLeases/createSlotLeases.js";

/** A second owner takes over the pool and one other fault happens; docs/design.md, section 3.2. */
export const slotOwnershipFaults = createSlotLeases({
    name: "slot leases: change of owner with one other fault",
    slotLimit: 1,
    takeovers: 1,
    faults: 1,
    ticks: 2,
});
