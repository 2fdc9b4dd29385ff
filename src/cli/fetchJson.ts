import { request } from "undici";

const TIMEOUT_MS = 3000;

/**
 * Fetches a JSON page of a daemon.
 *
 * @throws Error when there is no response within 3 s or its status is not 200.
 */
export async function fetchJson(address: string, path: string): Promise<unknown> {
    const response = await request(`http://${address}${path}`, { signal: AbortSignal.timeout(TIMEOUT_MS) });
    if (response.statusCode !== 200) {
        await response.body.dump();
        throw new Error(`status ${response.statusCode}`);
    }
    return await response.body.json();
}
