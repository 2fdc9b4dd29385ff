import { pickItem } from "./pickItem.js";
import type { SoakFault } from "./soakFault.js";

/** Sound targets may fall silent for about a second; callers and routes wait longer. */
const SILENCE_MS = 1150;
/** Time between the beginning of the silence and the change. */
const CHANGE_AFTER_MS = [5, 200] as const;
/** Bytes before the silence: none, a part of a head, or a head with a part of the body or of the next event. */
const BYTES_BEFORE_SILENCE = [0, 1, 60, 150, 190, 260] as const;
const MAX_SIGNALS = 5;
const MAX_PAUSE_MS = 300;

/** Faults in which changes of the configuration, signals and planned stops come in series or meet silent targets. */
export const changeFaults: readonly SoakFault[] = [
    {
        name: "silent-beside-change",
        inject: async (fleet, random, wait) => {
            const targets = random() < 0.5 ? [pickItem(fleet.runningTargets, random)] : fleet.runningTargets;
            const ends = targets.map(({ target }) => fleet.impairments.start(target.id));
            const holdAfterBytes = pickItem(BYTES_BEFORE_SILENCE, random);
            const changeAfterMs = pickItem(CHANGE_AFTER_MS, random);
            targets.forEach(({ link }) => link.setFault({ holdAfterBytes }));
            await wait(changeAfterMs);
            fleet.publishChange({
                plainTimeoutMs: pickItem([1000, 1500], random),
                idleTimeoutMs: pickItem([10_000, 15_000], random),
                safeService: pickItem(["plain", "spare"] as const, random),
            });
            await wait(SILENCE_MS - changeAfterMs);
            targets.forEach(({ link }) => link.setFault({}));
            ends.forEach(end => end());
        },
    },
    {
        name: "signalled",
        inject: async (fleet, random, wait) => {
            for (let i = 0; i < 1 + random() * MAX_SIGNALS; i += 1) {
                pickItem(fleet.instances, random).process.kill("SIGHUP");
                fleet.publish();
                await wait(random() * MAX_PAUSE_MS);
            }
        },
    },
    {
        name: "stopped-in-turn",
        inject: async (fleet, random, wait) => {
            const stops = fleet.instances.slice(1).map(async (instance, i) => {
                await wait(i * MAX_PAUSE_MS);
                if (!instance.process.running) {
                    return;
                }
                const stopped = fleet.stopInstance(instance);
                await wait(random() * MAX_PAUSE_MS);
                // A signal may be sent again while the stop runs.
                instance.process.kill("SIGTERM");
                fleet.publish();
                await stopped;
                await fleet.ensureInstance(instance);
            });
            await Promise.all(stops);
        },
    },
];
