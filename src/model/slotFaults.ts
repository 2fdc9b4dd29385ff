import { createSlotLeases } from "./slotLeases/createSlotLeases.js";

/** One owner, a cold target and one fault; docs/design.md, sections 3.2 and 3.3. */
export const slotFaults = createSlotLeases({
    name: "slot leases: one fault and a cold target",
    slotLimit: 2,
    takeovers: 0,
    faults: 1,
    ticks: 3,
});
