import type { ModelEntry } from "./modelEntry.js";
import type { ModelState } from "./modelState.js";

/** Returns the state with some fields of one entry changed. */
export function replaceEntry(
    state: ModelState,
    index: number,
    change: (entry: ModelEntry) => Partial<ModelEntry>,
): ModelState {
    const entries = state.entries.map((entry, position) =>
        position === index ? { ...entry, ...change(entry) } : entry
    );
    return { ...state, entries };
}
