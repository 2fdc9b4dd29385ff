import { Agent, request } from "undici";
import { hashText } from "../../shared/hashText.js";
import type { Fleet } from "../../testing/fleet.js";
import { getAccountKey } from "../../testing/getAccountKey.js";
import { createMeasuredFleet } from "../createMeasuredFleet.js";
import { formatFigure } from "../formatFigure.js";
import { planLightAccounts } from "../planLightAccounts.js";
import type { Scenario } from "../scenario.js";
import { sumMetric } from "../sumMetric.js";
import { waitMs } from "../waitMs.js";

const DEFAULT_SECONDS = 30;
/** One change per second is four times the 22,000 a day that the users expect. */
const CHANGE_INTERVAL_MS = 1_000;
const PROBE_INTERVAL_MS = 20;
/** A change that is not in force after this time is counted in `notInForce`. */
const GIVE_UP_MS = 10_000;
const agent = new Agent({ connections: 4, pipelining: 1 });

/**
 * Measures how long each daemon takes to apply a published change, and detects daemons that revert to an older one.
 * Each change replaces the key of one account, so the response to a call with that key shows what is in force. In the
 * second half, half of the platform's replies are one revision old, and while every third change is published all are
 * two revisions old.
 */
export const measureConfiguration: Scenario = async options => {
    const plans = planLightAccounts(options.accounts, options.accounts, 0);
    const fleet = await createMeasuredFleet(options, plans);
    try {
        const changes = Math.max(
            2,
            Math.round((options.durationSeconds ?? DEFAULT_SECONDS) * 1000 / CHANGE_INTERVAL_MS),
        );
        const inForce: number[] = [];
        const reached = new Map<string, number>();
        let reverts = 0;
        const calls = await fleet.platform.readCalls();
        const bytes = await sumMetric(fleet, "peer_bytes_total");
        const startMs = Date.now();
        for (let change = 1; change <= changes; change += 1) {
            if (change > changes / 2) {
                await fleet.platform.setFault({ staleShare: 0.5, goBack: change % 3 === 0 ? 2 : 0 });
            }
            const publishedMs = Date.now();
            await publishProbe(fleet, change);
            if (change > changes / 2) {
                await fleet.platform.setFault({ staleShare: 0.5 });
            }
            await Promise.all(fleet.daemons.map(async name => {
                inForce.push(await waitForProbe(fleet, name, change, publishedMs));
                reached.set(name, change);
            }));
            await waitMs(Math.max(0, publishedMs + CHANGE_INTERVAL_MS - Date.now()));
            for (const [name, highest] of reached) {
                reverts += await hasProbe(fleet, name, highest) ? 0 : 1;
            }
        }
        await fleet.platform.setFault({});
        const elapsedSeconds = (Date.now() - startMs) / 1000;
        const bytesAfter = await sumMetric(fleet, "peer_bytes_total");
        return {
            seed: options.seed,
            changes,
            inForceMaxMs: Math.max(...inForce.filter(Number.isFinite)),
            notInForce: inForce.filter(time => !Number.isFinite(time)).length,
            reverts,
            platformCallsPerSecond: formatFigure((await fleet.platform.readCalls() - calls) / elapsedSeconds),
            bytesPerSecondPerDaemon: bytesAfter === undefined
                ? undefined
                : formatFigure((bytesAfter - (bytes ?? 0)) / elapsedSeconds / options.instances, 0),
        };
    }
    finally {
        await agent.destroy();
        await fleet.close();
    }
};

function buildProbeKey(change: number): string {
    return getAccountKey(`probe-${change}`);
}

async function publishProbe(fleet: Fleet, change: number): Promise<void> {
    await fleet.publishConfiguration(current => ({
        ...current,
        clientAccounts: current.clientAccounts.map((account, index) =>
            index === 0
                ? {
                    ...account,
                    keyDigests: [hashText(buildProbeKey(change))],
                }
                : account
        ),
    }));
}

/** Returns the milliseconds from publication until the daemon accepts the new key; `Infinity` if it does not. */
async function waitForProbe(
    fleet: Fleet,
    name: string,
    change: number,
    publishedMs: number,
): Promise<number> {
    while (!await hasProbe(fleet, name, change)) {
        if (Date.now() - publishedMs > GIVE_UP_MS) {
            return Infinity;
        }
        await waitMs(PROBE_INTERVAL_MS);
    }
    return Date.now() - publishedMs;
}

/** Checks whether the daemon accepts the new key. The body is not JSON, so that no call gets to a target. */
async function hasProbe(fleet: Fleet, name: string, change: number): Promise<boolean> {
    const answer = await request(`http://${fleet.getDaemon(name).address}/v1/chat/completions`, {
        method: "POST",
        headers: { authorization: `Bearer ${buildProbeKey(change)}`, "content-type": "application/json" },
        body: "probe",
        dispatcher: agent,
    });
    await answer.body.dump();
    return answer.statusCode !== 401;
}
