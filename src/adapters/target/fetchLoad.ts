import { request } from "undici";
import type { LoadReport } from "../../core/lease/loadReport.js";
import { loadReportSchema } from "./loadReportSchema.js";

/** Errors that show that no process serves the address; a reset also ends connections of a crashed process. */
const REFUSAL_CODES: ReadonlySet<string> = new Set(["ECONNREFUSED", "ECONNRESET", "UND_ERR_SOCKET"]);

/**
 * Reads the load report of a target.
 *
 * @param url Base URL of the target.
 * @param timeoutMs Time for the whole call in milliseconds.
 * @returns `undefined` when the target gives no valid report in time, `refused` when it accepts no connection.
 */
export async function fetchLoad(
    url: string | URL,
    timeoutMs: number,
): Promise<LoadReport | "refused" | undefined> {
    try {
        const response = await request(`${String(url).replace(/\/$/, "")}/v1/load`, {
            signal: AbortSignal.timeout(timeoutMs),
        });
        if (response.statusCode !== 200) {
            await response.body.dump();
            return undefined;
        }
        return loadReportSchema.safeParse(await response.body.json()).data;
    }
    catch (error) {
        // Any other failure may lie on the way to the target, which then counts as silent.
        return REFUSAL_CODES.has((error as { code?: string; }).code ?? "") ? "refused" : undefined;
    }
}
