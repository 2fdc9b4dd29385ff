/**
 * Capacity that a request may use: `any`; `idle`: targets with hardly a queue; `idle-cached`: those of them that have the shared parts
 * of its prompt.
 */
export type CapacityClass = "any" | "idle" | "idle-cached";
