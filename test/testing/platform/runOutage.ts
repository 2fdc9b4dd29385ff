import type { ChangeBatch } from "../../../src/core/routing/changeBatch.js";
import { NO_ERA } from "../../../src/core/routing/noEra.js";
import { SourceError } from "../../../src/core/routing/sourceError.js";
import { TargetDirectory } from "../../../src/core/routing/targetDirectory.js";
import { StoreFollower } from "../../../src/platform/storeFollower.js";
import type { LogSink } from "../../../src/router/logSink.js";

interface Outage {
    /** Period in which the store cannot be reached, in milliseconds of simulated time. */
    readonly from: number;
    readonly until: number;
    /** Time at which a target whose registration lapsed during the outage registers again; never by default. */
    readonly registeredAt?: number;
}

interface Sample {
    readonly at: number;
    readonly isListed: boolean;
}

/** `contactMs` of the deployments. */
const CONTACT_MS = 4000;
const SAMPLE_MS = 50;
const END_AFTER_MS = 8000;
const WATCH_MS = 1200;
/** Timeouts of `StoreSource`: of a watch, and of a call that does not wait. */
const WATCH_TIMEOUT_MS = 2400;
const URGENT_TIMEOUT_MS = 800;
const ROUND_TRIP_MS = 50;
const TARGET = {
    service: "s",
    address: "127.0.0.1:1",
    zone: "a",
    slots: 1,
    state: "ready",
    sequence: 1,
};
const ITEM = {
    key: "servers/t1",
    revision: 1,
    value: Buffer.from(JSON.stringify(TARGET)).toString("base64"),
};

/**
 * Runs a follower in simulated time through an outage in which the registration of its only target disappears and the
 * history is lost. Returns whether the target is listed, sampled from the start to some seconds after the outage.
 */
export async function runOutage(
    { from, until, registeredAt = Infinity }: Outage,
): Promise<readonly Sample[]> {
    const samples: Sample[] = [];
    const targetDirectory = TargetDirectory.create(CONTACT_MS);
    let now = 0;
    const elapse = (ms: number): void => {
        const end = now + ms;
        for (; now + SAMPLE_MS <= end; now += SAMPLE_MS) {
            samples.push({ at: now, isListed: targetDirectory.list(now).length > 0 });
        }
        now = end;
        if (now >= until + END_AFTER_MS) {
            follower.stop();
        }
    };
    const buildBatch = (isWhole: boolean, changes: ChangeBatch["changes"]): ChangeBatch => ({
        changes,
        isWhole,
        era: NO_ERA,
        revision: now < from ? 1 : now < registeredAt ? 2 : 3,
        confirmedAt: now,
        confirmedTimeOfDay: now,
    });
    const follower = StoreFollower.create({
        source: (after, isUrgent) => {
            const waitMs = isUrgent === true ? 0 : WATCH_MS;
            // An attempt to connect that is lost is repeated only after seconds, even if the path is back by then.
            if (now < until && now + waitMs >= from) {
                elapse(isUrgent === true ? URGENT_TIMEOUT_MS : WATCH_TIMEOUT_MS);
                return Promise.reject(SourceError.create("timeout"));
            }
            elapse(ROUND_TRIP_MS);
            const isListed = now < from || now >= registeredAt;
            if (after === undefined) {
                return Promise.resolve(buildBatch(true, isListed ? [ITEM] : []));
            }
            if (now >= until && after.revision < 2) {
                return Promise.reject(SourceError.create("history-lost"));
            }
            elapse(Math.min(waitMs, Math.max(0, registeredAt - now)));
            const isBack = after.revision < 3 && now >= registeredAt;
            return Promise.resolve(buildBatch(false, isBack ? [{ ...ITEM, revision: 3 }] : []));
        },
        targetDirectory,
        log: { write: () => undefined } as unknown as LogSink,
        getNow: () => now,
        getRandom: () => 1,
        wait: ms => Promise.resolve(elapse(ms)),
        onConfiguration: () => undefined,
        onTargets: () => undefined,
        onEvacuated: () => undefined,
        onConfirmed: () => undefined,
    });
    await follower.run();
    return samples;
}
