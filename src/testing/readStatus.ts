import type { StatusReport } from "../core/explain/statusReport.js";
import type { Fleet } from "./fleet.js";

/** Reads the status of a daemon; `undefined` if there is no response. */
export async function readStatus(fleet: Fleet, daemon: string): Promise<StatusReport | undefined> {
    const page = await fleet.readOperator(daemon, "/v1/status");
    return page === undefined ? undefined : JSON.parse(page) as StatusReport;
}
