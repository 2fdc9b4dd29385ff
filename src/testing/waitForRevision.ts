import type { Fleet } from "./fleet.js";
import { readStatus } from "./readStatus.js";
import { waitUntil } from "./waitUntil.js";

/** Waits until every running daemon has a revision in force. */
export function waitForRevision(fleet: Fleet, revision: number): Promise<void> {
    return waitUntil(`every daemon has revision ${revision} in force`, async () => {
        const statuses = await Promise.all(fleet.daemons.map(name => readStatus(fleet, name)));
        return statuses.every(status => status?.configuration?.revision === revision);
    });
}
