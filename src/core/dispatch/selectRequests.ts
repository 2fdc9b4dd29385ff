import { applySelection } from "./applySelection.js";
import type { DispatchInputs } from "./dispatchInputs.js";
import type { DispatchPolicy } from "./dispatchPolicy.js";
import type { DispatchSelection } from "./dispatchSelection.js";
import type { DispatchState } from "./dispatchState.js";
import { selectNextRequest } from "./selectNextRequest.js";

/**
 * Selects requests until none of those that wait may start.
 *
 * @param onSelect Called with each selection and the state before it.
 * @returns State with the selected requests in flight.
 */
export function selectRequests(
    state: DispatchState,
    policy: DispatchPolicy,
    inputs: DispatchInputs,
    onSelect: (selection: DispatchSelection, before: DispatchState) => void,
): DispatchState {
    let current = state;
    for (const service of new Set([...current.queues.values()].map(queue => queue.service))) {
        for (;;) {
            const selection = selectNextRequest(current, service, policy, inputs);
            if (!selection) {
                break;
            }
            const before = current;
            current = applySelection(current, selection, inputs);
            onSelect(selection, before);
        }
    }
    return current;
}
