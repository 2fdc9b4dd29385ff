import type { LinkFault } from "../standIns/faultProxy/linkFault.js";
import type { CooperativeFleet } from "../testing/platform/cooperativeFleet.js";
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
            const { process } = pickItem(fleet.instances, random);
            process.kill("SIGSTOP");
            await wait(SHORT_MS + random() * LONG_MS);
            process.kill("SIGCONT");
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
