import { Agent } from "node:http";
import type { LinkFault } from "../standIns/faultProxy/linkFault.js";
import type { CooperativeFleet } from "../testing/platform/cooperativeFleet.js";
import { BASELINE_FAULT_SHARE } from "./baselineFaultShare.js";
import { changeFaults } from "./changeFaults.js";
import { chunkedCrowdFaults } from "./chunkedCrowdFaults.js";
import { createFaultSource } from "./createFaultSource.js";
import { oddEntries } from "./oddEntries.js";
import { pickItem } from "./pickItem.js";
import { processFaults } from "./processFaults.js";
import { sendSoakRequest } from "./sendSoakRequest.js";
import { slowTargetFaults } from "./slowTargetFaults.js";
import type { SoakFault } from "./soakFault.js";
import { targetVersionFaults } from "./targetVersionFaults.js";

/** Fraction of the requests that get a fault at a faulty target. */
const FAULT_SHARE = 0.3;
const MAX_SEED = 2 ** 31;
const SHORT_MS = 400;
const LONG_MS = 2500;
/** Configurations that follow each other. */
const MAX_CHANGES = 4;
/** Longer than the time after which a limit must be kept, with a window over which it is checked. */
const LIMITED_MS = 8500;
const MAX_LIMIT_PER_SECOND = 6;
/** Longer than the time after which a crashing request must be refused. */
const CRASHING_MS = 9000;

function createLinkFault(name: string, fault: LinkFault): SoakFault {
    return {
        name,
        inject: async (fleet, random, wait) => {
            const entry = random() < 0.3 ? undefined : pickItem(fleet.runningTargets, random);
            const link = entry?.link ?? fleet.storeLink;
            const { impairments } = fleet;
            const ends = entry
                ? [entry.target.service, entry.target.id].map(name => impairments.start(`link ${name}`))
                : [impairments.start("store")];
            link.setFault(fault);
            await wait(SHORT_MS + random() * LONG_MS);
            link.setFault({});
            // Connections on which bytes were held or lost meanwhile must not be reused.
            link.reset();
            ends.forEach(end => end());
        },
    };
}

function createProcessFault(
    name: string,
    end: (fleet: CooperativeFleet, instance: CooperativeFleet["instances"][number]) => Promise<void>,
): SoakFault {
    return {
        name,
        inject: async (fleet, random, wait) => {
            const instance = pickItem(fleet.instances, random);
            if (!instance.process.running) {
                return;
            }
            await end(fleet, instance);
            await wait(random() * SHORT_MS);
            await fleet.ensureInstance(instance);
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
    createProcessFault("killed", (fleet, instance) => fleet.killInstances([instance])),
    createProcessFault("stopped", (fleet, instance) => fleet.stopInstance(instance)),
    {
        name: "all-killed",
        inject: async (fleet, random, wait) => {
            const instances = fleet.instances.filter(({ process }) => process.running);
            await fleet.killInstances(instances);
            await wait(random() * SHORT_MS);
            await Promise.all(instances.map(instance => fleet.ensureInstance(instance)));
        },
    },
    ...targetVersionFaults,
    ...slowTargetFaults,
    ...changeFaults,
    ...processFaults,
    ...chunkedCrowdFaults,
    {
        name: "odd-entries",
        inject: async (fleet, random, wait) => {
            const replaced = random() < FAULT_SHARE ? pickItem(fleet.runningTargets, random) : undefined;
            const keys = ["servers/odd-1", "servers/odd-2", `servers/${replaced?.target.id ?? "odd-3"}`];
            keys.forEach(key => fleet.store.write(key, pickItem(oddEntries, random)));
            const end = replaced ? fleet.impairments.start(replaced.target.id) : undefined;
            await wait(SHORT_MS + random() * LONG_MS);
            keys.forEach(key => fleet.store.remove(key));
            if (replaced) {
                fleet.setRegistration(replaced, replaced.registration.state);
            }
            end?.();
        },
    },
    {
        name: "paused",
        inject: async (fleet, random, wait) => {
            const instance = pickItem(fleet.instances, random);
            const resume = fleet.pauseInstance(instance);
            await wait(SHORT_MS + random() * LONG_MS);
            resume();
        },
    },
    {
        name: "store-away",
        inject: async (fleet, random, wait) => {
            const end = fleet.impairments.start("store");
            fleet.store.setMode(pickItem(["silent", "busy", "reset"] as const, random));
            // Some outages last longer than keys are accepted without a new confirmation.
            await wait(SHORT_MS + random() * (fleet.revocationMs + LONG_MS));
            fleet.store.setMode("ok");
            end();
        },
    },
    {
        name: "history-lost",
        inject: async fleet => {
            fleet.impairments.mark("store");
            fleet.store.dropHistory();
        },
    },
    {
        name: "configuration-changed",
        inject: async (fleet, random, wait) => {
            for (let i = 0; i < 1 + random() * MAX_CHANGES; i += 1) {
                fleet.publishChange({
                    plainTimeoutMs: pickItem([1000, 1500], random),
                    idleTimeoutMs: pickItem([10_000, 15_000], random),
                    safeService: pickItem(["plain", "spare"] as const, random),
                });
                await wait(random() * SHORT_MS);
            }
        },
    },
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
            const { target } = pickItem(fleet.runningTargets, random);
            const seed = Math.floor(random() * MAX_SEED);
            target.setFault(createFaultSource(seed, FAULT_SHARE));
            await wait(SHORT_MS + random() * LONG_MS);
            target.setFault(createFaultSource(seed, BASELINE_FAULT_SHARE));
        },
    },
    {
        name: "limited-target",
        inject: async (fleet, random, wait) => {
            const target = pickItem(fleet.runningTargets, random);
            fleet.setLimit(target, 1 + Math.floor(random() * MAX_LIMIT_PER_SECOND));
            await wait(LIMITED_MS + random() * LONG_MS);
            fleet.setLimit(target, undefined);
        },
    },
    {
        name: "crashing-request",
        inject: async (fleet, random, wait, observer) => {
            const body = `crashing ${Math.floor(random() * MAX_SEED)}`;
            const route = pickItem(["safe", "unsafe"] as const, random);
            const agent = new Agent();
            const until = performance.now() + CRASHING_MS;
            for (let i = 0; performance.now() < until; i += 1) {
                void sendSoakRequest(fleet, observer, {
                    requestId: `${body}-${i}`.replace(" ", "-"),
                    route,
                    turn: Math.floor(random() * fleet.instances.length),
                    agent,
                    body,
                    timeoutMs: SHORT_MS,
                });
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
            const { target } = pickItem(fleet.runningTargets, random);
            target.setHeader("Retry-After", (random() * 2).toFixed(2));
            await wait(SHORT_MS + random() * LONG_MS);
            target.setHeader("Retry-After");
        },
    },
    {
        name: "leaving-target",
        inject: async (fleet, random, wait) => {
            const { target } = pickItem(fleet.runningTargets, random);
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
            const end = fleet.impairments.start("store");
            fleet.store.setMode("reset");
            await wait(random() * SHORT_MS);
            fleet.recoverStore(copy);
            fleet.store.setMode("ok");
            end();
        },
    },
    {
        name: "draining-target",
        inject: async (fleet, random, wait) => {
            const target = pickItem(fleet.runningTargets, random);
            fleet.setRegistration(target, "draining");
            await wait(LONG_MS);
            fleet.setRegistration(target, "ready");
        },
    },
];
