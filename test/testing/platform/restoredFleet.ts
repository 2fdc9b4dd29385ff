import { ChangeLog } from "../../../src/core/routing/changeLog.js";
import { SourceError } from "../../../src/core/routing/sourceError.js";
import { TargetDirectory } from "../../../src/core/routing/targetDirectory.js";
import { StoreFollower } from "../../../src/platform/storeFollower.js";
import type { LogSink } from "../../../src/router/logSink.js";
import { RelayedChangeSource } from "../../../src/router/relayedChangeSource.js";
import type { SimulatedClock } from "../simulatedClock.js";
import type { SimulatedStore } from "./simulatedStore.js";

interface FollowingInstance {
    readonly targets: TargetDirectory;
    readonly versions: number[];
    /** Times at which the configuration was confirmed. */
    readonly confirmations: number[];
    readonly events: Readonly<Record<string, unknown>>[];
    evacuated: ReadonlySet<string>;
    isReachable: boolean;
    stop(): void;
}

interface RestoredFleetOptions {
    readonly clock: SimulatedClock;
    readonly store: SimulatedStore;
    readonly getRandom: () => number;
    /** Number of instances; all but the first read through the first. */
    readonly count: number;
}

const PEER_MS = 5;
const FEED_POLL_MS = 700;
const MAX_AGE_MS = 2900;
const CATCH_UP_MS = 4000;

/** Runs followers of one store in simulated time: the first reads from the store, the others through it. */
export function runRestoredFleet(options: RestoredFleetOptions): readonly FollowingInstance[] {
    const { clock, store, getRandom, count } = options;
    const logs = Array.from({ length: count }, () => ChangeLog.create());
    return logs.map((changeLog, i) => {
        const targets = TargetDirectory.create(CATCH_UP_MS);
        const source = RelayedChangeSource.create({
            direct: (after, isUrgent) => store.read(after, isUrgent === true, () => instance.isReachable),
            readPeer: async (_, after) => {
                await clock.wait(after ? FEED_POLL_MS : PEER_MS);
                const batch = logs[0]?.listSince(after);
                if (!batch) {
                    throw SourceError.create("status", 503);
                }
                return batch;
            },
            findReaders: () => ({ hosts: i === 0 ? [] : ["reader"], maxAgeMs: MAX_AGE_MS }),
            changeLog,
            log: { write: () => undefined } as unknown as LogSink,
            getNow: () => clock.now,
        });
        const follower = StoreFollower.create({
            source: (after, isUrgent) => source.read(after, isUrgent),
            targetDirectory: targets,
            log: {
                write: (event: string, fields: object) => instance.events.push({ event, ...fields }),
            } as unknown as LogSink,
            getNow: () => clock.now,
            getRandom,
            wait: ms => clock.wait(ms),
            onConfiguration: ({ version }) => instance.versions.push(version),
            onTargets: () => undefined,
            onEvacuated: dataCentres => instance.evacuated = dataCentres,
            onConfirmed: () => instance.confirmations.push(clock.now),
        });
        const instance: FollowingInstance = {
            targets,
            versions: [],
            confirmations: [],
            events: [],
            evacuated: new Set<string>(),
            isReachable: true,
            stop: () => follower.stop(),
        };
        void follower.run();
        return instance;
    });
}
