import { applyAdoptionEvent } from "../../core/configuration/applyAdoptionEvent.js";
import { applySuspicionEvent } from "../../core/membership/applySuspicionEvent.js";
import type { InstanceList } from "../../core/membership/instanceList.js";
import { selectLeavingNotices } from "../../core/membership/selectLeavingNotices.js";
import type { SuspicionEvent } from "../../core/membership/suspicionEvent.js";
import type { ManagerEffect } from "./managerEffect.js";
import type { ManagerMessage } from "./managerMessage.js";
import type { ManagerState } from "./managerState.js";

interface ManagerResult {
    readonly state: ManagerState;
    readonly effects: readonly ManagerEffect[];
}

/**
 * Lifetime of a leaving notice that the instance list does not confirm. The list lags behind, but an instance that
 * restarts under the same name and address must regain its roles.
 */
const NOTICE_LIFETIME_MS = 60_000;

/**
 * Reducer of the configuration manager: returns the state after a message and the effects to report.
 *
 * @param now Monotonic time in milliseconds.
 */
export function applyManagerMessage(
    state: ManagerState,
    message: ManagerMessage,
    now: number,
): ManagerResult {
    switch (message.type) {
        case "offered":
        case "peers-asked": {
            const { state: adoption, effects } = applyAdoptionEvent(state.adoption, message);
            return { state: adoption === state.adoption ? state : { ...state, adoption }, effects };
        }
        case "list-offered":
            return message.list.revision > state.instances.revision
                ? adoptList(state, message.list, now)
                : { state, effects: [] };
        case "result":
        case "probed":
            return applySuspicion(state, message, now);
        case "leaving":
            return { state: addNotice(state, message.instance, message.incarnation, now), effects: [] };
        case "seen":
            return { state: dropOutdatedNotices(state, message.instance, message.incarnation), effects: [] };
        case "tick":
            return { state: expireNotices(state, now), effects: [] };
    }
}

function adoptList(state: ManagerState, list: InstanceList, now: number): ManagerResult {
    const addresses = new Map(state.instances.instances.map(({ name, peerAddress }) => [name, peerAddress]));
    // A new address under the same name is a new process, whose suspicion state starts afresh.
    const unchangedInstances = list.instances.filter(instance =>
        addresses.get(instance.name) === instance.peerAddress
    );
    const result = applySuspicion(
        { ...state, instances: list, instancesAdoptedAt: now },
        { type: "listed", instances: new Set(unchangedInstances.map(instance => instance.name)) },
        now,
    );
    return { state: expireNotices(result.state, now), effects: result.effects };
}

function applySuspicion(state: ManagerState, event: SuspicionEvent, now: number): ManagerResult {
    const { state: suspicion, effects } = applySuspicionEvent(state.suspicion, event, now);
    return { state: suspicion === state.suspicion ? state : { ...state, suspicion }, effects };
}

function addNotice(state: ManagerState, instance: string, incarnation: string, now: number): ManagerState {
    const listed = state.instances.instances.find(candidate => candidate.name === instance);
    return {
        ...state,
        notices: [...state.notices.filter(notice => notice.instance !== instance), {
            instance,
            incarnation,
            peerAddress: listed?.peerAddress ?? "",
            deadline: now + NOTICE_LIFETIME_MS,
        }],
    };
}

// Incarnations are UUIDs of version 7, which sort by start time.
function dropOutdatedNotices(state: ManagerState, instance: string, incarnation: string): ManagerState {
    const notices = state.notices.filter(notice =>
        notice.instance !== instance || notice.incarnation >= incarnation
    );
    return notices.length === state.notices.length ? state : { ...state, notices };
}

function expireNotices(state: ManagerState, now: number): ManagerState {
    const notices = selectLeavingNotices(state.notices, state.instances, now);
    return notices.length === state.notices.length ? state : { ...state, notices };
}
