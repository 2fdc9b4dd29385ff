import { pickItem } from "./pickItem.js";
import type { SoakFault } from "./soakFault.js";

/** Few versions, so that a release may go back to one that served before. */
const VERSIONS = ["v1", "v2", "v3"] as const;
const MAX_PAUSE_MS = 400;
/** A target that starts again registers at its next report, which it writes about every 1.2 s. */
const REGISTRATION_MS = 1200;
/** Targets go on for this long after they have reported that they leave. */
const DRAIN_MS = 3000;

/** Faults that change the software versions of targets. */
export const targetVersionFaults: readonly SoakFault[] = [
    {
        name: "released",
        inject: async (fleet, random, wait) => {
            const service = pickItem(["engine", "plain", "spare"] as const, random);
            const version = pickItem(VERSIONS, random);
            const share = random();
            const replaced = fleet.runningTargets.filter(({ target, registration }) =>
                target.service === service && target.version !== version && registration.state === "ready"
                && random() < share
            );
            for (const entry of replaced) {
                await fleet.addTarget(service, version);
                fleet.setRegistration(entry, "draining");
                await wait(random() * MAX_PAUSE_MS);
            }
            await wait(DRAIN_MS);
            replaced.forEach(entry => fleet.endTarget(entry));
        },
    },
    {
        name: "restarted-target",
        inject: async (fleet, random) =>
            fleet.startTargetAgain(
                pickItem(fleet.runningTargets, random),
                pickItem(VERSIONS, random),
                random() * REGISTRATION_MS,
            ),
    },
];
