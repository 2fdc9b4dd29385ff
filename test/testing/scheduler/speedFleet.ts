import type { TargetGrant } from "../../../src/core/routing/targetGrant.js";
import { SpeedReports } from "../../../src/core/targetSpeed/speedReports.js";
import { createScheduler } from "./createScheduler.js";
import { makeRoutedRequest } from "./makeRoutedRequest.js";
import { makeTargetDescriptor } from "./makeTargetDescriptor.js";

interface SpeedFleetOptions {
    readonly instances: number;
    /** Ratio of the time that work takes at each target to the usual time, at a time in milliseconds. */
    readonly paces: readonly ((now: number) => number)[];
    /** Ratio that a target states, by its index and pace; `undefined` if it states none. */
    readonly state: (target: number, pace: number) => number | undefined;
    readonly requestsPerMs: number;
    readonly lossShare?: number;
    readonly durationMs: number;
    /** False if instances take all targets for equally fast, and only choose by weight; true by default. */
    readonly usesSpeeds?: boolean;
    /** Whether an instance shares and adopts speeds, as versions before do not; all do by default. */
    readonly isNew?: (instance: number) => boolean;
}

type Instance = ReturnType<typeof createInstance>;

interface SpeedFleetResult {
    /** Time for which the busiest target was reading prompts, relative to the mean of all. */
    readonly busiestShare: number;
    /** Share of the requests that had no first event within 400 ms. */
    readonly lateShare: number;
    readonly meanMs: number;
}

const REPORT_MS = 150;
const REPORT_DELAY_MS = 150;
const PROMPT_TOKENS = 1000;
/** Rate that instances assume of an engine without responses, in `createScheduler`. */
const TOKENS_PER_MS = 50;
const OBJECTIVE_MS = 400;

/** Simulates instances that share engines, which read prompts one after another, each at its own pace. */
export function runSpeedFleet(options: SpeedFleetOptions): SpeedFleetResult {
    const { paces, state, requestsPerMs, durationMs, lossShare = 0, isNew = () => true } = options;
    const random = createRandom();
    const instances = Array.from({ length: options.instances }, () => createInstance(paces.length, random));
    if (options.usesSpeeds === false) {
        instances.flatMap(({ scheduler }) => [...scheduler.targets.values()])
            .forEach(({ speed }) => speed.getTimeRatio = () => 1);
    }
    const freeAt = paces.map(() => 0);
    const busyMs = paces.map(() => 0);
    const events = new Map<number, (() => void)[]>();
    const delays: number[] = [];
    let sent = 0;
    const at = (time: number, run: () => void): void => {
        events.set(Math.ceil(time), [...events.get(Math.ceil(time)) ?? [], run]);
    };
    let clock = 0;
    const serve = ({ scheduler }: Instance, grant: TargetGrant, sentAt: number): void => {
        const target = Number(grant.target.descriptor.id);
        const startAt = Math.max(clock, freeAt[target] ?? 0);
        const pace = paces[target]?.(startAt) ?? 1;
        const readMs = pace * (20 + PROMPT_TOKENS / TOKENS_PER_MS);
        const time = Math.ceil(startAt + readMs);
        freeAt[target] = startAt + readMs;
        busyMs[target] = (busyMs[target] ?? 0) + readMs;
        at(time, () => {
            delays.push(time - sentAt);
            const workTimeRatio = state(target, paces[target]?.(time) ?? 1);
            grant.target.recordLoad(
                { runningRequests: 1, waitingRequests: 0, slots: 8, workTimeRatio },
                time,
            );
            scheduler.start(grant, time);
            scheduler.release(grant, true, time);
        });
    };
    for (let now = 0; now < durationMs; now += 1) {
        clock = now;
        events.get(now)?.forEach(run => run());
        events.delete(now);
        instances.forEach(({ scheduler, reports }, sender) => {
            scheduler.advance(now);
            if ((now + sender) % REPORT_MS !== 0) {
                return;
            }
            const loads = [...scheduler.targets.values()].map(target =>
                [target.descriptor.id, target.inFlight, target.pendingTokens] as const
            );
            const speeds = isNew(sender) ? reports.take("instance", 3, now) ?? [] : [];
            instances.forEach((receiver, i) => {
                if (i === sender || random() < lossShare) {
                    return;
                }
                at(now + REPORT_DELAY_MS, () => {
                    const validUntil = now + REPORT_DELAY_MS + 600;
                    loads.forEach(([id, inFlight, pendingTokens]) =>
                        receiver.scheduler.targets.get(id)?.setPeerLoad(String(sender), {
                            inFlight,
                            pendingTokens,
                            validUntil,
                        })
                    );
                    // A report reaches two delegates and one random peer; their summaries bring it to the others.
                    const aged = speeds.map(([id, percent, ageMs]) =>
                        [id, percent, ageMs + REPORT_DELAY_MS] as const
                    );
                    receiver.reports.adopt(isNew(i) ? aged : [], true, now + REPORT_DELAY_MS);
                });
            });
        });
        while (sent < requestsPerMs * now) {
            sent += 1;
            const instance = instances[Math.floor(random() * instances.length)];
            if (!instance) {
                continue;
            }
            const sentAt = now;
            instance.scheduler.enqueue({
                request: makeRoutedRequest({
                    requestId: String(sent),
                    prompt: [{ id: `own-${sent}`, tokens: PROMPT_TOKENS }],
                    receivedAt: now,
                    objectiveDeadline: now + OBJECTIVE_MS,
                }),
                excludedTargets: new Set(),
                isResume: false,
                onGrant: grant => serve(instance, grant, sentAt),
                onRefuse: () => delays.push(Number.POSITIVE_INFINITY),
                onError: () => undefined,
            }, now);
        }
    }
    const meanBusyMs = busyMs.reduce((sum, ms) => sum + ms, 0) / busyMs.length;
    const served = delays.filter(ms => Number.isFinite(ms));
    return {
        busiestShare: Math.max(...busyMs) / meanBusyMs,
        lateShare: delays.filter(ms => ms > OBJECTIVE_MS).length / delays.length,
        meanMs: served.reduce((sum, ms) => sum + ms, 0) / served.length,
    };
}

function createInstance(targets: number, random: () => number) {
    const { scheduler } = createScheduler(
        0,
        undefined,
        undefined,
        undefined,
        undefined,
        undefined,
        undefined,
        undefined,
        random,
    );
    const list = Array.from({ length: targets }, (_, i) => makeTargetDescriptor(String(i), { slots: 8 }));
    scheduler.setTargets(list, new Set(), 0);
    const reports = SpeedReports.create({
        listSpeeds: () =>
            scheduler.speeds.isActive
                ? [...scheduler.targets].map(([id, { speed }]) => [id, speed] as const)
                : [],
        onObservation: (id, observation, now) => scheduler.targets.get(id)?.adoptSpeed(observation, now),
    });
    return { scheduler, reports };
}

/** A linear congruential generator, so that a run can be repeated. */
function createRandom(): () => number {
    let seed = 1;
    return () => {
        seed = (seed * 1_664_525 + 1_013_904_223) % 2 ** 32;
        return seed / 2 ** 32;
    };
}
