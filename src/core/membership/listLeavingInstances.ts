import type { InstanceList } from "./instanceList.js";
import type { LeavingNotice } from "./leavingNotice.js";

/** Returns the names of the instances that are listed as leaving or announced it. */
export function listLeavingInstances(
    notices: readonly LeavingNotice[],
    list: InstanceList,
): ReadonlySet<string> {
    const listed = list.instances.filter(instance => instance.state === "leaving");
    return new Set([...listed.map(instance => instance.name), ...notices.map(notice => notice.instance)]);
}
