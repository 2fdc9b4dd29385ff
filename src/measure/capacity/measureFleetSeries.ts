import { hashText } from "../../shared/hashText.js";
import { createRandom } from "../../standIns/client/createRandom.js";
import type { Fleet } from "../../testing/fleet.js";
import type { AccountPlan } from "../accountPlan.js";
import { ClientLoad } from "../clientLoad.js";
import { createMeasuredFleet } from "../createMeasuredFleet.js";
import type { MeasureOptions } from "../measureOptions.js";
import { planLightAccounts } from "../planLightAccounts.js";
import { waitMs } from "../waitMs.js";
import { listUsageSeries } from "./listUsageSeries.js";
import { measureUsage } from "./measureUsage.js";
import type { SlopeSeries } from "./slopeSeries.js";
import type { UsageRates } from "./usageRates.js";

type Points = [size: number, usage: UsageRates][];

/** Time for start-up, first reports and first connections to complete before a measurement window. */
const SETTLE_MS = 2_000;
const DAEMONS = 7;
const ACCOUNTS = 16;
const CALLERS_PER_DAEMON = 2;
/** Concurrent calls of a backlogged account; 16 such accounts keep requests waiting at 12 engines of 8 slots. */
const BACKLOG = 14;
const MOST_BACKLOGGED = 48;

/** Measures the resource usage of daemons in fleets of several sizes on this machine. */
export async function measureFleetSeries(
    options: MeasureOptions,
    seconds: number,
): Promise<readonly SlopeSeries[]> {
    const isQuick = options.quick;
    const idle: Points = [];
    const loaded: Points = [];
    for (const instances of isQuick ? [3, 6, 9] : [7, 14, 28, 56]) {
        options.logProgress(`${instances} daemons`);
        const plans = planLightAccounts(ACCOUNTS, instances * CALLERS_PER_DAEMON, 0.2);
        await runFleet({ ...options, instances }, plans, async fleet => {
            await waitMs(SETTLE_MS);
            idle.push([instances, await measureUsage(fleet, seconds)]);
            loaded.push([instances, await measureLoaded(fleet, plans, options.seed, seconds)]);
        });
    }
    const requests: Points = [];
    const backlogged: Points = [];
    const changes: Points = [];
    const accounts: Points = [];
    const heavy = planLightAccounts(MOST_BACKLOGGED, MOST_BACKLOGGED * BACKLOG, 0);
    await runFleet({ ...options, instances: DAEMONS }, heavy, async fleet => {
        for (const callers of [7, 14, 28, 56]) {
            options.logProgress(`${callers} callers`);
            const plans = planLightAccounts(7, callers, 0);
            const usage = await measureLoaded(fleet, plans, options.seed, seconds);
            requests.push([usage.requests, usage]);
        }
        for (const count of [12, 24, MOST_BACKLOGGED]) {
            options.logProgress(`${count} backlogged accounts`);
            const usage = await measureLoaded(fleet, heavy.slice(0, count), options.seed, seconds);
            backlogged.push([count, usage]);
        }
        await waitMs(SETTLE_MS);
        for (const perSecond of [0, 1, 2, 4]) {
            options.logProgress(`${perSecond} configuration changes/s`);
            const publish = (): Promise<void> => publishChanges(fleet, perSecond, seconds);
            changes.push([perSecond, await measureUsage(fleet, seconds, publish)]);
        }
        for (const count of [MOST_BACKLOGGED, 800, 1600, 2400]) {
            options.logProgress(`${count} configured accounts`);
            await publishAccounts(fleet, count);
            await waitMs(SETTLE_MS);
            accounts.push([count, await measureUsage(fleet, seconds)]);
        }
    });
    return [
        ...listUsageSeries("idle", "daemon", idle),
        ...listUsageSeries("loaded", "daemon (2 callers each)", loaded),
        ...listUsageSeries("requests", "request/s of one daemon (7 daemons)", requests),
        ...listUsageSeries("backlogged", "backlogged account (7 daemons)", backlogged),
        ...listUsageSeries("changes", "configuration change/s (7 daemons)", changes),
        ...listUsageSeries("accounts", "configured account (7 daemons, idle)", accounts),
    ];
}

async function runFleet(
    options: MeasureOptions,
    plans: readonly AccountPlan[],
    run: (fleet: Fleet) => Promise<void>,
): Promise<void> {
    const fleet = await createMeasuredFleet(options, plans);
    try {
        await run(fleet);
    }
    finally {
        await fleet.close();
    }
}

async function measureLoaded(
    fleet: Fleet,
    plans: readonly AccountPlan[],
    seed: number,
    seconds: number,
): Promise<UsageRates> {
    const load = ClientLoad.create({ fleet, plans, random: createRandom(seed) });
    await waitMs(SETTLE_MS);
    const usage = await measureUsage(fleet, seconds);
    await load.stop();
    return usage;
}

async function publishChanges(fleet: Fleet, perSecond: number, seconds: number): Promise<void> {
    const endsAt = performance.now() + seconds * 1000;
    for (let change = 1; change <= perSecond * seconds; change += 1) {
        await fleet.publishConfiguration(current => ({
            ...current,
            targets: current.targets.map((target, index) =>
                index === 0 ? { ...target, slotLimit: 8 + change % 2 } : target
            ),
        }));
        await waitMs(Math.max(0, endsAt - performance.now() - (seconds - change / perSecond) * 1000));
    }
    await waitMs(Math.max(0, endsAt - performance.now()));
}

async function publishAccounts(fleet: Fleet, count: number): Promise<void> {
    await fleet.publishConfiguration(current => {
        const [first] = current.clientAccounts;
        const added = Array.from(
            { length: Math.max(0, count - current.clientAccounts.length) },
            (_, index) => {
                const name = `idle-${count}-${index}`;
                return { ...first, name, keyDigests: [hashText(name)] };
            },
        );
        return {
            ...current,
            clientAccounts: [...current.clientAccounts, ...added] as typeof current.clientAccounts,
        };
    });
}
