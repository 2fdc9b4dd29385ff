import { AccountUsage } from "../../../src/core/routing/accountUsage.js";
import { PromptLocations } from "../../../src/core/routing/promptLocations.js";
import { ServiceScheduler } from "../../../src/core/routing/serviceScheduler.js";
import type { TargetGrant } from "../../../src/core/routing/targetGrant.js";
import { ResponseSizes } from "../../../src/core/spill/responseSizes.js";
import { SummaryRecord } from "../../../src/core/spill/summaryRecord.js";
import { createCrashRecord } from "../createCrashRecord.js";
import { createLimiter } from "../createLimiter.js";
import { createTargetNotices } from "../createTargetNotices.js";
import { makeRoutedRequest } from "../scheduler/makeRoutedRequest.js";
import { makeTargetDescriptor } from "../scheduler/makeTargetDescriptor.js";
import type { SpillFleet } from "./spillFleet.js";

type DataCentre = Instance["dataCentre"];
type Instance = SpillFleet["instances"][number];
type Outcomes = SpillFleet["outcomes"][DataCentre];
type Load = readonly (readonly [id: string, inFlight: number, pendingTokens: number])[];

interface SpillLoad {
    readonly seconds: number;
    /** Requests per second of the callers of a data centre, each of 1000 prompt tokens. */
    readonly rate: (dataCentre: DataCentre, now: number) => number;
    /** Client account of the callers of a data centre. */
    readonly account?: (dataCentre: DataCentre, i: number) => string;
    /** Tokens a second that are divided among the accounts. @default no shares */
    readonly tokensPerSecond?: number;
    /** Changes the fleet; called every 10 ms. */
    readonly onStep?: (fleet: SpillFleet, now: number) => void;
    /** Whether a report is lost. */
    readonly isLost?: (from: DataCentre, to: DataCentre, i: number, now: number) => boolean;
    /** Whether an instance is of a version without spill. */
    readonly isOlder?: (name: string) => boolean;
    /** False if the settings lack the group. @default true */
    readonly hasSpill?: boolean;
}

const DATA_CENTRES = ["a", "b", "c"] as const;
const REGIONS = { a: "r", b: "r", c: "s" } as const;
const INSTANCES = 3;
const TOKENS_PER_MS = 50;
const STEP_MS = 10;
const HOLD_MS = 200;

/** Plays a load on the schedulers of nine instances in three data centres with two engines each, 100 requests a second. */
export function runSpill(load: SpillLoad): SpillFleet {
    const usage = AccountUsage.create(4000);
    const readUntil = new Map<string, number>();
    const events: { at: number; run: () => void; }[] = [];
    let now = 0;
    const fleet: SpillFleet = {
        instances: DATA_CENTRES.flatMap(dataCentre =>
            Array.from({ length: INSTANCES }, (_, i) => createInstance(`${dataCentre}${i}`, dataCentre))
        ),
        targets: DATA_CENTRES.flatMap(dataCentre =>
            [0, 1].map(i => ({ id: `t${dataCentre}${i}`, dataCentre, coldUntil: 0, isDraining: false }))
        ),
        evacuated: new Set(),
        outcomes: { a: makeOutcomes(), b: makeOutcomes(), c: makeOutcomes() },
        peakQueueMs: { a: 0, b: 0, c: 0 },
        setTargets: at => fleet.instances.forEach(({ scheduler }) => setTargets(scheduler, at)),
        restart: (name, at) => {
            const instance = fleet.instances.find(other => other.name === name);
            if (instance) {
                Object.assign(instance, createInstance(name, instance.dataCentre, at));
                setTargets(instance.scheduler, at);
            }
        },
    };
    const listMembers = (): { name: string; dataCentre: string; weight: number; }[] =>
        fleet.instances.map(({ name, dataCentre }) => ({ name, dataCentre, weight: 1 }));

    function setTargets(scheduler: ServiceScheduler, at: number): void {
        const descriptors = fleet.targets.map(target =>
            makeTargetDescriptor(target.id, { ...target, slots: 16 })
        );
        scheduler.setTargets(descriptors, fleet.evacuated, at);
    }

    function createInstance(name: string, dataCentre: DataCentre, startedAt = -10_000): Instance {
        const summaries = SummaryRecord.create();
        const hasSpill = load.hasSpill !== false && load.isOlder?.(name) !== true;
        const scheduler = ServiceScheduler.create({
            getRandom: () => 0,
            service: {
                name: "s",
                maxConnections: 100,
                warmupMs: 3000,
                coldRequestsPerSecond: 13,
                shortestObjectiveMs: 400,
                engine: { slots: 16, memoryTokens: 100_000, tokenBytes: 0, linkMbps: 0 },
            },
            settings: {
                locality: { dataCentre, region: REGIONS[dataCentre] },
                regionsByDataCentre: new Map(Object.entries(REGIONS)),
                priorTokensPerMs: TOKENS_PER_MS,
                queueObjectiveShare: 0.5,
                overShareObjectiveShare: 0.125,
                coldFactor: 1,
                coldSlack: 0,
                dataCentreDelayMs: 1.4,
                regionDelayMs: 20,
            },
            usage,
            promptLocations: PromptLocations.create(),
            crashRecord: createCrashRecord(),
            limits: createLimiter(),
            notices: createTargetNotices(),
            getTokensPerSecond: () => load.tokensPerSecond ?? 0,
            getColdShare: () => ({ perSecond: 1, burst: 1 }),
            mayBegin: () => true,
            mayGoOn: () => true,
            spill: hasSpill
                ? {
                    settings: {
                        sameRegionWaitMsPerMb: 1,
                        otherRegionWaitMsPerMb: 10,
                        minGainMs: 10,
                        needsReportedSpeeds: false,
                    },
                    instance: name,
                    responseSizes: ResponseSizes.create(),
                    summaries,
                    listMembers: () => now - startedAt < 2000 ? undefined : listMembers(),
                }
                : undefined,
        });
        return { name, dataCentre, scheduler, summaries, startedAt };
    }

    function serve(
        instance: Instance,
        outcomes: Outcomes,
        grant: TargetGrant,
        objectiveDeadline: number,
    ): void {
        const { scheduler, dataCentre } = instance;
        const target = fleet.targets.find(({ id }) => id === grant.target.descriptor.id);
        const to = target?.dataCentre ?? dataCentre;
        const delayMs = to === dataCentre ? 0 : REGIONS[to] === REGIONS[dataCentre] ? 1.4 : 20;
        if (to !== dataCentre) {
            const second = Math.floor(now / 1000);
            outcomes.left[to][second] = (outcomes.left[to][second] ?? 0) + 1;
        }
        const id = target?.id ?? "";
        const beginAt = Math.max(now + delayMs, readUntil.get(id) ?? 0);
        const readAt = beginAt + grant.missingTokens / TOKENS_PER_MS;
        fleet.peakQueueMs[to] = Math.max(fleet.peakQueueMs[to], readAt - now);
        readUntil.set(id, readAt);
        const firstAt = readAt + 20 + delayMs;
        outcomes.onTime += firstAt <= objectiveDeadline ? 1 : 0;
        events.push({ at: firstAt, run: () => scheduler.start(grant, now) });
        events.push({ at: firstAt + HOLD_MS, run: () => scheduler.release(grant, true, now) });
    }

    function enqueue(instance: Instance, account: string, id: string): void {
        const outcomes = fleet.outcomes[instance.dataCentre];
        const objectiveDeadline = now + 400;
        outcomes.offered += 1;
        instance.scheduler.enqueue({
            request: makeRoutedRequest({
                requestId: id,
                account,
                prompt: [{ id, tokens: 1000 }],
                receivedAt: now,
                objectiveDeadline,
                deadline: now + 10_000,
            }),
            excludedTargets: new Set(),
            isResume: false,
            onGrant: grant => serve(instance, outcomes, grant, objectiveDeadline),
            onRefuse: () => outcomes.refused += 1,
            onError: error => {
                throw error;
            },
        }, now);
    }

    let reports = 0;
    function report(from: DataCentre, sender: string, intervalMs: number, loads: Load, to: Instance): void {
        reports += 1;
        if (load.isLost?.(from, to.dataCentre, reports, now)) {
            return;
        }
        const sentAt = now;
        events.push({
            at: now + intervalMs,
            run: () => {
                for (const [id, target] of to.scheduler.targets) {
                    const [, inFlight, pendingTokens] = loads.find(([other]) => other === id) ?? [id, 0, 0];
                    const validUntil = sentAt + intervalMs + (from === to.dataCentre ? 600 : 1200);
                    target.setPeerLoad(sender, { inFlight, pendingTokens, validUntil });
                }
                if (from !== to.dataCentre) {
                    to.summaries.record(from, sentAt + intervalMs + 1200);
                }
            },
        });
    }

    function listLoads(instances: readonly Instance[]): Load {
        return fleet.targets.map(({ id }) => {
            const states = instances.map(({ scheduler }) => scheduler.targets.get(id));
            const sum = (read: "inFlight" | "pendingTokens"): number =>
                states.reduce((total, state) => total + (state?.[read] ?? 0), 0);
            return [id, sum("inFlight"), sum("pendingTokens")] as const;
        });
    }

    function sendReports(): void {
        for (const from of DATA_CENTRES) {
            const locals = fleet.instances.filter(({ dataCentre }) => dataCentre === from);
            for (const to of fleet.instances) {
                if (to.dataCentre === from) {
                    locals.filter(sender => sender !== to).forEach(sender =>
                        report(from, sender.name, 1, listLoads([sender]), to)
                    );
                }
                // A summary holds what members reported up to 150 ms before.
                else if (now % (REGIONS[from] === REGIONS[to.dataCentre] ? 300 : 600) === 0) {
                    report(from, `data centre ${from}`, 150, listLoads(locals), to);
                }
            }
        }
    }

    const due = { a: 0, b: 0, c: 0 };
    fleet.setTargets(0);
    for (; now < load.seconds * 1000; now += STEP_MS) {
        load.onStep?.(fleet, now);
        if (now % 150 === 0) {
            sendReports();
        }
        const ready = events.filter(({ at }) => at <= now).sort((x, y) => x.at - y.at);
        events.splice(0, events.length, ...events.filter(({ at }) => at > now));
        ready.forEach(({ run }) => run());
        for (const dataCentre of DATA_CENTRES) {
            due[dataCentre] += load.rate(dataCentre, now) * STEP_MS / 1000;
            for (; due[dataCentre] >= 1; due[dataCentre] -= 1) {
                const i = fleet.outcomes[dataCentre].offered;
                const instance = fleet.instances.filter(other =>
                    other.dataCentre === dataCentre
                )[i % INSTANCES];
                if (instance) {
                    enqueue(instance, load.account?.(dataCentre, i) ?? "a", `${dataCentre}-${i}`);
                }
            }
        }
        fleet.instances.forEach(({ scheduler }) => scheduler.advance(now));
    }
    return fleet;
}

function makeOutcomes(): Outcomes {
    return { offered: 0, onTime: 0, refused: 0, left: { a: [], b: [], c: [] } };
}
