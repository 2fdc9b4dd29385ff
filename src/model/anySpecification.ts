import type { Specification } from "./specification.js";

/** A specification whose state and event types do not matter to the checker. */
// eslint-disable-next-line @typescript-eslint/no-explicit-any -- a list of different specifications
export type AnySpecification = Specification<any, any>;
