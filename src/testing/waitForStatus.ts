import type { StatusReport } from "../core/explain/statusReport.js";
import type { Fleet } from "./fleet.js";
import { waitUntil } from "./waitUntil.js";

/**
 * Waits until the status of a daemon fulfils a condition and returns it.
 *
 * @throws Error when the condition does not hold within the time of `waitUntil`.
 */
export async function waitForStatus(
    fleet: Fleet,
    daemon: string,
    isExpected: (status: StatusReport) => boolean,
): Promise<StatusReport> {
    let expected: StatusReport | undefined;
    await waitUntil(`${daemon} shows the expected status`, async () => {
        const page = await fleet.readOperator(daemon, "/v1/status");
        const status = page === undefined ? undefined : JSON.parse(page) as StatusReport;
        expected = status && isExpected(status) ? status : undefined;
        return expected !== undefined;
    });
    if (!expected) {
        throw new Error(`The status of ${daemon} cannot be read.`);
    }
    return expected;
}
