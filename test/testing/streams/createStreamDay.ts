import type { TargetDescriptor } from "../../../src/core/routing/targetDescriptor.js";
import { createRandom } from "../../../src/standIns/client/createRandom.js";
import { makeTargetDescriptor } from "../scheduler/makeTargetDescriptor.js";
import { StreamFleet } from "./streamFleet.js";

interface StreamDay {
    readonly fleet: StreamFleet;
    /** Runs until a time while streams begin at all instances, break off and are taken up at others, twice in a row. */
    readonly runTraffic: (until: number, perTick?: number) => void;
    /** Replaces the targets by three of each version and one of another service; the first version has started first. */
    readonly setVersions: (versions: readonly string[], startedAtMs?: number) => void;
    /** Ends instances, which come back after a time in milliseconds. */
    readonly endInstances: (isEnded: (index: number) => boolean, forMs: number) => void;
}

const TICK_MS = 100;
/** Each instance has followed the list for longer than a stream may last. */
const SETTLED_AT = 19_000;

/**
 * Creates a fleet that has served one version for longer than a stream may last.
 *
 * @param cut Time in milliseconds from then for which one of the three data centres is cut off from the others and the store.
 */
export function createStreamDay(
    instances: number,
    seed: number,
    cut?: { readonly fromMs: number; readonly untilMs: number; },
): StreamDay {
    const getRandom = createRandom(seed);
    const fleet = StreamFleet.create({
        instances,
        getRandom,
        isConnected: (dataCentre, now) =>
            dataCentre !== "dc1" || !cut
            || now < SETTLED_AT + cut.fromMs || now >= SETTLED_AT + cut.untilMs,
    });
    const pick = (): number => Math.floor(getRandom() * instances);
    const runTraffic = (until: number, perTick = 3): void => {
        while (fleet.now < until) {
            for (let i = 0; i < perTick; i += 1) {
                const stream = fleet.startStream(pick());
                if (stream) {
                    fleet.schedule(20 + getRandom() ** 2 * 4000, () => fleet.takeUp(pick(), stream));
                    fleet.schedule(2000 + getRandom() * 3900, () => fleet.takeUp(pick(), stream));
                }
            }
            fleet.run(fleet.now + TICK_MS);
        }
    };
    const setVersions: StreamDay["setVersions"] = (versions, startedAtMs) =>
        fleet.setTargets(listTargets(versions, startedAtMs));
    const endInstances: StreamDay["endInstances"] = (isEnded, forMs) => {
        const indexes = Array.from({ length: instances }, (_, i) => i).filter(isEnded);
        indexes.forEach(index => fleet.kill(index));
        fleet.schedule(forMs, () => indexes.forEach(index => fleet.start(index)));
    };
    setVersions(["v1"]);
    fleet.run(SETTLED_AT);
    return { fleet, runTraffic, setVersions, endInstances };
}

function listTargets(versions: readonly string[], startedAtMs = 1): readonly TargetDescriptor[] {
    const other = makeTargetDescriptor("other", { service: "other", version: "w1", startedAtMs: 1 });
    const listed = versions.flatMap((version, v) =>
        [0, 1, 2].map(i => makeTargetDescriptor(`${version} ${i}`, { version, startedAtMs: startedAtMs + v }))
    );
    return [...listed, other];
}
