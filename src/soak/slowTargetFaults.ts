import { pickItem } from "./pickItem.js";
import type { SoakFault } from "./soakFault.js";

const MIN_SILENCE_MS = 500;
const MAX_SILENCE_MS = 2000;
const SLOW_HEAD_MS = 700;
const SLOW_EVENT_MS = 100;
const LEAD_MS = 500;

/** Faults in which targets take longer than usual, and are sound otherwise. */
export const slowTargetFaults: readonly SoakFault[] = [
    {
        name: "silent-target",
        inject: async (fleet, random, wait) => {
            const { target } = pickItem(fleet.runningTargets, random);
            const silenceMs = MIN_SILENCE_MS + random() * (MAX_SILENCE_MS - MIN_SILENCE_MS);
            const end = fleet.impairments.start(target.id);
            target.pauseResponses(
                performance.now() + silenceMs,
                pickItem(["all", "events"] as const, random),
            );
            await wait(silenceMs);
            end();
        },
    },
    {
        name: "silent-service",
        inject: async (fleet, random, wait) => {
            const service = pickItem(["engine", "plain", "spare"] as const, random);
            const parts = pickItem(["all", "events"] as const, random);
            const silenceMs = MIN_SILENCE_MS + random() * (MAX_SILENCE_MS - MIN_SILENCE_MS);
            const targets = fleet.runningTargets.map(({ target }) => target)
                .filter(target => target.service === service);
            const ends = targets.map(({ id }) => fleet.impairments.start(id));
            targets.forEach(target => target.pauseResponses(performance.now() + silenceMs, parts));
            await wait(silenceMs);
            ends.forEach(end => end());
        },
    },
    {
        name: "silent-rest",
        inject: async (fleet, random, wait) => {
            const service = pickItem(["engine", "plain"] as const, random);
            const ready = fleet.runningTargets.filter(entry =>
                entry.service === service && entry.registration.state === "ready"
            );
            const rest = ready.splice(0, 1 + Math.floor(random() * 2));
            ready.forEach(entry => fleet.setRegistration(entry, "draining"));
            await wait(LEAD_MS);
            const silenceMs = MIN_SILENCE_MS + random() * (MAX_SILENCE_MS - MIN_SILENCE_MS);
            const parts = pickItem(["all", "events"] as const, random);
            const ends = rest.map(({ target }) => fleet.impairments.start(target.id));
            rest.forEach(({ target }) => target.pauseResponses(performance.now() + silenceMs, parts));
            await wait(silenceMs);
            ends.forEach(end => end());
            ready.forEach(entry => fleet.setRegistration(entry, "ready"));
        },
    },
    {
        name: "stopped-beside-slow-targets",
        inject: async (fleet, random, wait) => {
            const instance = pickItem(fleet.instances, random);
            const targets = fleet.runningTargets.map(({ target }) => target);
            const ends = targets.map(({ id }) => fleet.impairments.start(id));
            targets.forEach(target => target.setPace({ headMs: SLOW_HEAD_MS, eventMs: SLOW_EVENT_MS }));
            await wait(random() * LEAD_MS);
            await fleet.stopInstance(instance);
            targets.forEach(target => target.setPace());
            ends.forEach(end => end());
            await fleet.ensureInstance(instance);
        },
    },
];
