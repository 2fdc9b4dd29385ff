import type { InstanceList } from "./instanceList.js";
import type { LeavingNotice } from "./leavingNotice.js";

/**
 * Returns the notices that still apply. An instance may restart under the same name, so a notice ends at its
 * deadline, when the list shows another address for the name, or when the instance is no longer listed.
 *
 * @param now Monotonic time in milliseconds.
 */
export function selectLeavingNotices(
    notices: readonly LeavingNotice[],
    list: InstanceList,
    now: number,
): readonly LeavingNotice[] {
    const addresses = new Map(list.instances.map(instance => [instance.name, instance.peerAddress]));
    return notices.filter(notice =>
        now < notice.deadline && addresses.get(notice.instance) === notice.peerAddress
    );
}
