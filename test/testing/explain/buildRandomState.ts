import type { RequestLimiter } from "../../../src/core/limits/requestLimiter.js";
import type { AccountUsage } from "../../../src/core/routing/accountUsage.js";
import type { RoutedRequest } from "../../../src/core/routing/routedRequest.js";
import type { ServiceScheduler } from "../../../src/core/routing/serviceScheduler.js";
import type { TargetCandidate } from "../../../src/core/routing/targetCandidate.js";
import { createRandom } from "../../../src/standIns/client/createRandom.js";
import { createCrashRecord } from "../createCrashRecord.js";
import { createLimiter } from "../createLimiter.js";
import { createTargetNotices } from "../createTargetNotices.js";
import { createScheduler } from "../scheduler/createScheduler.js";
import { enqueueRequest } from "../scheduler/enqueueRequest.js";
import { makeRoutedRequest } from "../scheduler/makeRoutedRequest.js";
import { makeTargetDescriptor } from "../scheduler/makeTargetDescriptor.js";
import { makeStreamMember } from "../streams/makeStreamMember.js";

interface RandomState {
    readonly scheduler: ServiceScheduler;
    readonly usage: AccountUsage;
    readonly limits: RequestLimiter;
    /** Changes what the instance may send to cold targets, as when members come and go. */
    readonly changeColdShare: () => void;
    readonly now: number;
    readonly random: () => number;
    readonly makeRequest: (now: number) => RoutedRequest;
}

const LOADED_FOR_MS = 2600;

/** Builds the state of a scheduler after seconds of random load and faults; the same seed builds the same state again. */
export function buildRandomState(seed: number): RandomState {
    const random = createRandom(seed);
    // The first numbers of neighbouring seeds are much alike.
    Array.from({ length: 50 }, random);
    const pick = <T>(...values: readonly T[]): T => values[Math.floor(random() * values.length)] as T;
    const [limits, notices, crashRecord] = [createLimiter(), createTargetNotices(), createCrashRecord()];
    const pickColdShare = (): TargetCandidate["coldShare"] =>
        pick(undefined, { perSecond: 3, burst: 2 }, { perSecond: 30, burst: 3 });
    let coldShare = pickColdShare();
    const newVersion = pick("v2", "v1", "none", "none", "none");
    const { scheduler, usage } = createScheduler(
        pick(0, 1500, 6000, 60_000),
        () => coldShare,
        undefined,
        crashRecord,
        limits,
        notices,
        ({ version }) => version !== newVersion,
        undefined,
        undefined,
        undefined,
        pick(true, false, false) ? () => true : undefined,
    );
    const targets = Array.from(
        { length: pick(0, 1, 3, 5, 8, 8, 8) },
        (_, i) =>
            makeTargetDescriptor(`t${i}`, {
                dataCentre: pick("a", "a", "b"),
                isDraining: random() < 0.1,
                coldUntil: pick(0, 0, 0, 10_000),
                version: pick("v1", "v1", "v2"),
            }),
    );
    scheduler.setTargets(targets, new Set(pick([], [], [], ["b"], ["a"])), 0);
    limits.setTargets(targets, 0);
    // With speeds, shares yield to unmet demand only, and targets that are nearly as good are possible, too.
    const hasSpeeds = pick(true, false);
    for (const target of hasSpeeds ? scheduler.targets.values() : []) {
        const load = { runningRequests: 1, waitingRequests: 0, slots: 4 };
        target.recordLoad({ ...load, workTimeRatio: pick(0.5, 1, 2) }, 0);
    }
    const limitedShare = pick(0, 0.4, 1);
    targets.filter(() => random() < limitedShare)
        .forEach(({ id }) => limits.observe(id, { kind: "named", perSecond: 5 }, 0, 0));
    const makeRequest = (now: number): RoutedRequest =>
        makeRoutedRequest({
            requestId: String(Math.floor(random() * 1000)),
            account: pick("a", "a", "b", "c"),
            regions: pick([], [], [], ["r"], ["s"]),
            promptTokens: pick(0, 300, 1000, 6000),
            outputTokens: pick(0, 10, 200),
            prompt: [
                { id: pick("shared", "other", "short", "bad"), tokens: pick(100, 800) },
                { id: "own", tokens: 200 },
            ],
            receivedAt: now,
            objectiveDeadline: now + pick(10, 400, 2000),
            deadline: now + 10_000,
        });
    const load = pick(3, 15, 60);
    let now = 0;
    for (let i = 0; i < load; i += 1) {
        now += random() * 2 * LOADED_FOR_MS / load;
        const { grant } = enqueueRequest(scheduler, makeRequest(now), now);
        if (grant && random() < 0.5) {
            scheduler.start(grant, now);
            grant.target.recordResult(random() < 0.6, now);
            scheduler.release(grant, true, now);
        }
        if (random() < 0.1 && targets.length > 0) {
            limits.applyPermits([[pick(...targets).id, 2]], { ...makeStreamMember(0), dataCentre: "a" }, now);
        }
        if (random() < 0.1) {
            const granted = pick(500, 30_000);
            usage.setPeerUsage("p", {
                tokens: new Map([["a", { asked: pick(0, 30_000), granted }]]),
                validUntil: now + 400,
            });
        }
    }
    const isCrashing = random() < 0.3;
    for (let n = 0; n < 3 && isCrashing; n += 1) {
        const crash = { targetId: `x${n}`, sentAt: 0, endedAt: now - 4500 + 1500 * n };
        crashRecord.recordCrash(["bad"], crash, now);
    }
    targets.filter(() => random() < 0.12).forEach(target =>
        notices.observe(target, {
            isLeaving: pick(true, false),
            pauseMs: pick(undefined, 50, 5000),
            unusualHeaders: [],
        }, now)
    );
    const pauseMs = random() < 0.08 ? 3000 : undefined;
    targets.forEach(target =>
        notices.observe(target, { isLeaving: false, pauseMs, unusualHeaders: [] }, now)
    );
    const changeColdShare = (): void => {
        coldShare = pickColdShare();
    };
    return { scheduler, usage, limits, changeColdShare, now: now + pick(0, 1, 60), random, makeRequest };
}
