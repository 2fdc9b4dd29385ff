import { buildBundle } from "../../core/configuration/buildBundle.js";
import { hashText } from "../../shared/hashText.js";
import type { LinkFault } from "../../standIns/faultProxy/linkFault.js";
import type { Fleet } from "../../testing/fleet.js";
import { waitMs } from "../waitMs.js";
import type { FaultEvent } from "./faultEvent.js";
import type { PlannedStop } from "./plannedStop.js";

/** Time until the platform's instance list shows that a killed instance is gone. */
const LIST_LAG_MS = 2_000;
const SLOW_LINK_MS = 300;
const SPOILED = { count: 5, afterBytes: 100 } as const;

/** Injects a fault; one that lasts is cleared after its duration, before the promise resolves. */
export async function injectFault(
    fleet: Fleet,
    event: FaultEvent,
    recordStop: (stop: PlannedStop) => void,
): Promise<void> {
    const [subject = ""] = event.subjects;
    switch (event.kind) {
        case "kill":
            await fleet.killDaemon(subject);
            await waitMs(LIST_LAG_MS);
            await fleet.publishInstances();
            await waitMs(Math.max(0, event.durationMs - LIST_LAG_MS));
            return fleet.replaceDaemon(subject);
        case "freeze":
            fleet.setFrozen(subject, true);
            await waitMs(event.durationMs);
            return fleet.setFrozen(subject, false);
        case "partition": {
            const inside = fleet.listRegion(subject);
            const outside = [...fleet.daemons, ...fleet.targets.names].filter(name => !inside.includes(name));
            return runLinkFault(
                fleet,
                fleet.links.listBetween(inside, outside),
                { mode: "halfOpen" },
                event,
            );
        }
        case "slow-link": {
            const others = [...fleet.daemons, ...fleet.targets.names].filter(name => name !== subject);
            const links = fleet.links.listBetween([subject], others);
            return runLinkFault(fleet, links, { delayMs: SLOW_LINK_MS }, event);
        }
        case "target-truncates":
            return fleet.targets.injectFault(subject, { kind: "truncate", ...SPOILED });
        case "target-resets":
            return fleet.targets.injectFault(subject, { kind: "reset", ...SPOILED });
        case "target-duplicates":
            return fleet.targets.injectFault(subject, { kind: "duplicate", ...SPOILED });
        case "target-crosses":
            return fleet.targets.injectFault(subject, { kind: "cross", ...SPOILED });
        case "target-cold":
            return fleet.targets.setCold(subject);
        case "target-falls":
            return fleet.targets.fail(subject);
        case "platform-down":
            return runPlatformFault(fleet, { down: true }, event);
        case "platform-stale":
            return runPlatformFault(fleet, { staleShare: 0.5 }, event);
        case "platform-goes-back":
            return runPlatformFault(fleet, { goBack: 1 }, event);
        case "operator-race":
            return publishRace(fleet);
        case "rolling-restart":
            return runRollingRestart(fleet, subject, recordStop);
    }
}

async function runLinkFault(
    fleet: Fleet,
    links: readonly string[],
    fault: LinkFault,
    event: FaultEvent,
): Promise<void> {
    await fleet.links.setFault(links, fault);
    await waitMs(event.durationMs);
    await fleet.links.clearFaults(links);
}

async function runPlatformFault(
    fleet: Fleet,
    fault: Parameters<Fleet["platform"]["setFault"]>[0],
    event: FaultEvent,
): Promise<void> {
    await fleet.platform.setFault(fault);
    await waitMs(event.durationMs);
    await fleet.platform.setFault({});
}

/** Publishes two different bundles with the same revision, as two concurrent operators could. */
async function publishRace(fleet: Fleet): Promise<void> {
    await fleet.publishConfiguration(current => current);
    const configuration = {
        ...fleet.configuration,
        services: fleet.configuration.services.map(service => ({
            ...service,
            requestCost: service.requestCost + 1,
        })),
    };
    await fleet.platform.publish("configuration", buildBundle(configuration, fleet.revision, hashText));
}

async function runRollingRestart(
    fleet: Fleet,
    daemon: string,
    recordStop: (stop: PlannedStop) => void,
): Promise<void> {
    const entry = fleet.getDaemon(daemon).address;
    const fromMs = Date.now();
    const exitCode = await fleet.stopDaemon(daemon);
    recordStop({ entry, fromMs, toMs: Date.now(), exitCode });
    await fleet.replaceDaemon(daemon);
}
