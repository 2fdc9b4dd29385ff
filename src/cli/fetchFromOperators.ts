import { fetchJson } from "./fetchJson.js";
import type { OperatorResponses } from "./operatorResponses.js";

/** Fetches a page from several daemons in parallel. Failed calls are returned as failures, never thrown. */
export async function fetchFromOperators<T>(
    addresses: readonly string[],
    path: string,
    body?: string,
): Promise<OperatorResponses<T>> {
    const results = await Promise.allSettled(addresses.map(address => fetchJson(address, path, body)));
    const collected = results.map((result, index) => ({ result, address: addresses[index] ?? "" }));
    return {
        answers: collected.flatMap(({ result, address }) =>
            result.status === "fulfilled" ? [{ address, value: result.value as T }] : []
        ),
        failures: collected.flatMap(({ result, address }) =>
            result.status === "rejected" ? [{ address, reason: formatReason(result.reason) }] : []
        ),
    };
}

function formatReason(reason: unknown): string {
    return reason instanceof Error ? reason.message : String(reason);
}
