import type { ServiceSpeeds } from "../targetSpeed/serviceSpeeds.js";
import type { TargetDescriptor } from "./targetDescriptor.js";
import { TargetState } from "./targetState.js";

/** Removes the states of targets that are no longer listed, and adds those of new or restarted ones. */
export function replaceTargetStates(
    states: Map<string, TargetState>,
    targets: readonly TargetDescriptor[],
    memoryTokens: number | undefined,
    now: number,
    serviceSpeeds: ServiceSpeeds,
): void {
    const listed = new Set(targets.map(target => target.id));
    for (const id of states.keys()) {
        if (!listed.has(id)) {
            states.delete(id);
        }
    }
    for (const target of targets) {
        const known = states.get(target.id);
        if (known?.descriptor.startedAtMs === target.startedAtMs) {
            known.descriptor = target;
            continue;
        }
        states.set(target.id, TargetState.create(target, memoryTokens, now, serviceSpeeds));
    }
    serviceSpeeds.update();
}
