import { request } from "undici";
import type { LoadReport } from "../../core/lease/loadReport.js";
import { readBoundedJson } from "../../shared/readBoundedJson.js";
import { loadReportSchema } from "./loadReportSchema.js";

/** Errors that show that no process serves the address; the connections of a crashed process are reset. */
const REFUSED_CONNECTION_CODES: ReadonlySet<string> = new Set(["ECONNREFUSED", "ECONNRESET", "UND_ERR_SOCKET"]);
/** A report takes a few hundred bytes. */
const MAX_REPORT_BYTES = 65_536;

/**
 * Fetches the load report of a target.
 *
 * @param url Base URL of the target.
 * @param timeoutMs Time for the whole call in milliseconds.
 * @returns `undefined` when no valid report arrives in time, `refused` when the connection is refused or reset.
 */
export async function fetchLoad(
    url: string | URL,
    timeoutMs: number,
): Promise<LoadReport | "refused" | undefined> {
    const deadline = performance.now() + timeoutMs;
    try {
        const response = await request(`${String(url).replace(/\/$/, "")}/v1/load`, {
            signal: AbortSignal.timeout(timeoutMs),
        });
        if (response.statusCode !== 200) {
            await response.body.dump();
            return undefined;
        }
        const report = await readBoundedJson(response.body, { maxBytes: MAX_REPORT_BYTES, deadline });
        return loadReportSchema.safeParse(report).data;
    }
    catch (error) {
        // Any other failure may be one of the network; the target then counts as unresponsive.
        return REFUSED_CONNECTION_CODES.has((error as { code?: string; }).code ?? "") ? "refused" : undefined;
    }
}
