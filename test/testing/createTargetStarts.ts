import { TargetStarts } from "../../src/core/routing/targetStarts.js";

/** Creates a record in which every target runs as it is registered. */
export function createTargetStarts(): TargetStarts {
    return TargetStarts.create({ onRestarted: () => undefined, onUnnamed: () => undefined });
}
