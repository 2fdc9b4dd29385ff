import { request } from "undici";
import type { LoadReport } from "../../core/lease/loadReport.js";
import { loadReportSchema } from "./loadReportSchema.js";

/**
 * Reads the load report of a target.
 *
 * @param url Base URL of the target.
 * @param timeoutMs Time for the whole call in milliseconds.
 * @returns `undefined` when the target gives no valid report in time.
 */
export async function fetchLoad(url: string, timeoutMs: number): Promise<LoadReport | undefined> {
    try {
        const response = await request(`${url}/v1/load`, { signal: AbortSignal.timeout(timeoutMs) });
        if (response.statusCode !== 200) {
            await response.body.dump();
            return undefined;
        }
        return loadReportSchema.safeParse(await response.body.json()).data;
    }
    catch {
        // A target that cannot be reached is the same as one that is silent.
        return undefined;
    }
}
