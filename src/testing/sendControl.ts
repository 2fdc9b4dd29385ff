import { request } from "undici";

/**
 * Sends a control call to a stand-in and returns the JSON value of the response.
 *
 * @throws Error when the status is not 200.
 */
export async function sendControl<T>(
    address: string,
    method: "GET" | "POST" | "PUT",
    path: string,
    body?: unknown,
): Promise<T> {
    const response = await request(`http://${address}/control/${path}`, {
        method,
        body: body === undefined ? null : JSON.stringify(body),
    });
    const value = await response.body.json() as T;
    if (response.statusCode !== 200) {
        throw new Error(`${method} /control/${path} gave ${response.statusCode}: ${JSON.stringify(value)}`);
    }
    return value;
}
