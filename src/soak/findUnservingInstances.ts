import { readFileSync } from "node:fs";
import type { CooperativeFleet } from "../testing/platform/cooperativeFleet.js";
import { sendCaller } from "../testing/sendCaller.js";
import { waitUntil } from "../testing/waitUntil.js";
import type { SoakViolation } from "./soakViolation.js";

/** Node.js writes this to standard error when a signal makes it open its debugger. */
const DEBUGGER_PATTERN = /Debugger listening on|Starting inspector on/;

/** Finds instances that are not ready within a time after the last fault, or that have opened a debugger. */
export async function findUnservingInstances(
    fleet: CooperativeFleet,
    timeoutMs: number,
): Promise<readonly SoakViolation[]> {
    const violations = await Promise.all(fleet.instances.map(async (instance): Promise<SoakViolation[]> => {
        const { host, settingsPath } = instance;
        const { ready } = fleet.getUrls(instance);
        const found: SoakViolation[] = [];
        try {
            await waitUntil(
                "the instance is ready",
                async () => (await sendCaller(ready, { method: "GET", headers: {} })).status === 200,
                timeoutMs,
            );
        }
        catch (error) {
            found.push({ rule: "fault", subject: host, text: String(error) });
        }
        if (DEBUGGER_PATTERN.test(readFileSync(`${settingsPath}.log`, "utf8"))) {
            found.push({ rule: "fault", subject: host, text: "a signal made the process open its debugger" });
        }
        return found;
    }));
    return violations.flat();
}
