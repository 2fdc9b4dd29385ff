import { v7 as createUuid } from "uuid";
import { sendCall } from "../standIns/client/sendCall.js";
import type { Fleet } from "./fleet.js";
import { getAccountKey } from "./getAccountKey.js";
import { waitUntil } from "./waitUntil.js";

/**
 * Waits until every entry runs a non-repeatable call. Claim holders that have just started cannot vouch for idempotency
 * keys that are not clearly newer than their start, so a fleet that has just started refuses such calls.
 */
export function waitForOrders(fleet: Fleet, account: string): Promise<void> {
    return waitUntil("every entry runs an order", async () => {
        const results = await Promise.all(fleet.entries.map(entry => {
            const id = createUuid();
            return sendCall({
                entry,
                key: getAccountKey(account),
                service: "order-book",
                method: "POST",
                path: "/orders",
                body: `first order [request=${id}]`,
                idempotencyKey: id,
            });
        }));
        return results.every(result => result.correct);
    });
}
