import type { LinkFault } from "../standIns/faultProxy/linkFault.js";
import { buildCallerHeaders } from "../testing/platform/buildCallerHeaders.js";
import type { CooperativeFleet } from "../testing/platform/cooperativeFleet.js";
import { sendCaller } from "../testing/sendCaller.js";
import { BASELINE_FAULT_SHARE } from "./baselineFaultShare.js";
import { createFaultSource } from "./createFaultSource.js";
import type { SoakFault } from "./soakFault.js";

/** Fraction of the requests that get a fault at a faulty target. */
const FAULT_SHARE = 0.3;
const MAX_SEED = 2 ** 31;
const SHORT_MS = 400;
const LONG_MS = 2500;
/** Longer than the time after which a limit must be kept, with a window over which it is checked. */
const LIMITED_MS = 8500;
const MAX_LIMIT_PER_SECOND = 6;
/** Longer than the time after which a crashing request must be refused. */
const CRASHING_MS = 9000;

function pickItem<T>(items: readonly T[], random: () => number): T {
    const item = items[Math.floor(random() * items.length)];
    if (item === undefined) {
        throw new Error("Cannot pick from an empty list.");
    }
    return item;
}

function createLinkFault(name: string, fault: LinkFault): SoakFault {
    return {
        name,
        inject: async (fleet, random, wait) => {
            const link = random() < 0.3 ? fleet.storeLink : pickItem(fleet.targets, random).link;
            link.setFault(fault);
            await wait(SHORT_MS + random() * LONG_MS);
            link.setFault({});
            // Connections on which bytes were held or lost meanwhile must not be reused.
            link.reset();
        },
    };
}

function createProcessFault(
    name: string,
    end: (process: CooperativeFleet["instances"][number]["process"]) => Promise<unknown>,
): SoakFault {
    return {
        name,
        inject: async (fleet, random, wait) => {
            const instance = pickItem(fleet.instances, random);
            if (!instance.process.running) {
                return;
            }
            await end(instance.process);
            await wait(random() * SHORT_MS);
            await fleet.startInstance(instance);
        },
    };
}

/** Faults of links, processes, the store and targets. */
export const soakFaults: readonly SoakFault[] = [
    createLinkFault("delayed-link", { delayMs: 60 }),
    createLinkFault("cut-link", { mode: "cut" }),
    createLinkFault("silent-link", { mode: "halfOpen" }),
    createLinkFault("one-way-link", { backward: "drop" }),
    createLinkFault("resetting-link", { resetAfterBytes: 2000 }),
    createProcessFault("killed", process => process.stop("SIGKILL")),
    createProcessFault("stopped", process => process.stop("SIGTERM")),
    {
        name: "paused",
        inject: async (fleet, random, wait) => {
            const instance = pickItem(fleet.instances, random);
            instance.process.kill("SIGSTOP");
            await wait(SHORT_MS + random() * LONG_MS);
            fleet.resumeInstance(instance);
        },
    },
    {
        name: "store-away",
        inject: async (fleet, random, wait) => {
            fleet.store.setMode(pickItem(["silent", "busy", "reset"] as const, random));
            // Some outages last longer than keys are accepted without a new confirmation.
            await wait(SHORT_MS + random() * (fleet.revocationMs + LONG_MS));
            fleet.store.setMode("ok");
        },
    },
    { name: "history-lost", inject: async fleet => fleet.store.dropHistory() },
    { name: "configuration-changed", inject: async fleet => fleet.publish() },
    {
        name: "key-revoked",
        inject: async (fleet, random, wait) => {
            fleet.publish(false);
            await wait(fleet.revocationMs + random() * LONG_MS);
            fleet.publish(true);
        },
    },
    {
        name: "faulty-target",
        inject: async (fleet, random, wait) => {
            const { target } = pickItem(fleet.targets, random);
            const seed = Math.floor(random() * MAX_SEED);
            target.setFault(createFaultSource(seed, FAULT_SHARE));
            await wait(SHORT_MS + random() * LONG_MS);
            target.setFault(createFaultSource(seed, BASELINE_FAULT_SHARE));
        },
    },
    {
        name: "limited-target",
        inject: async (fleet, random, wait) => {
            const target = pickItem(fleet.targets, random);
            fleet.setLimit(target, 1 + Math.floor(random() * MAX_LIMIT_PER_SECOND));
            await wait(LIMITED_MS + random() * LONG_MS);
            fleet.setLimit(target, undefined);
        },
    },
    {
        name: "crashing-request",
        inject: async (fleet, random, wait) => {
            const body = `crashing ${Math.floor(random() * MAX_SEED)}`;
            const route = pickItem(["safe", "unsafe"] as const, random);
            const until = performance.now() + CRASHING_MS;
            for (let i = 0; performance.now() < until; i += 1) {
                const headers = buildCallerHeaders({
                    requestId: `${body}-${i}`.replace(" ", "-"),
                    patienceMs: SHORT_MS,
                });
                const { callers } = fleet.getUrls(pickItem(fleet.instances, random));
                void sendCaller(`${callers}/${route}/x`, { method: "POST", headers, body });
                const sentAt = performance.now();
                await wait(SHORT_MS * (random() < FAULT_SHARE ? 2 : 1));
                // After the end of the soak, waits return at once.
                if (performance.now() < sentAt + SHORT_MS / 2) {
                    return;
                }
            }
        },
    },
    {
        name: "pausing-target",
        inject: async (fleet, random, wait) => {
            const { target } = pickItem(fleet.targets, random);
            target.setHeader("Retry-After", (random() * 2).toFixed(2));
            await wait(SHORT_MS + random() * LONG_MS);
            target.setHeader("Retry-After");
        },
    },
    {
        name: "leaving-target",
        inject: async (fleet, random, wait) => {
            const { target } = pickItem(fleet.targets, random);
            target.setHeader("Server-Leaving", "1");
            await wait(LONG_MS);
            // Its successor starts soon after, so that some target of each service always stays.
            target.kill();
        },
    },
    {
        name: "store-restored",
        inject: async (fleet, random, wait) => {
            const copy = fleet.store.exportCopy();
            await wait(SHORT_MS + random() * LONG_MS);
            fleet.store.setMode("reset");
            await wait(random() * SHORT_MS);
            fleet.recoverStore(copy);
            fleet.store.setMode("ok");
        },
    },
    {
        name: "draining-target",
        inject: async (fleet, random, wait) => {
            const target = pickItem(fleet.targets, random);
            fleet.setRegistration(target, "draining");
            await wait(LONG_MS);
            fleet.setRegistration(target, "ready");
        },
    },
];
