import type { AdmissionPressure } from "../core/admission/admissionPressure.js";
import type { LimitGate } from "../core/limits/limitGate.js";
import type { AccountUsage } from "../core/routing/accountUsage.js";
import type { CrashRecord } from "../core/routing/crashRecord.js";
import type { PromptLocations } from "../core/routing/promptLocations.js";
import type { RouterConfiguration } from "../core/routing/routerConfiguration.js";
import { ServiceScheduler } from "../core/routing/serviceScheduler.js";
import { SlidingRetryBudget } from "../core/routing/slidingRetryBudget.js";
import type { TargetDescriptor } from "../core/routing/targetDescriptor.js";
import type { TargetNotices } from "../core/routing/targetNotices.js";
import type { TargetState } from "../core/routing/targetState.js";
import type { SpillInputs } from "../core/spill/spillInputs.js";
import type { SpeedObservation } from "../core/targetSpeed/speedObservation.js";
import type { TargetSpeed } from "../core/targetSpeed/targetSpeed.js";
import type { RouterSettings } from "./routerSettings.js";
import { schedulerTuning } from "./schedulerTuning.js";

interface ServicePoolOptions {
    readonly pressure: AdmissionPressure;
    readonly settings: RouterSettings;
    readonly usage: AccountUsage;
    readonly promptLocations: PromptLocations;
    readonly crashRecord: CrashRecord;
    readonly limits: LimitGate;
    readonly notices: TargetNotices;
    readonly getTokensPerSecond: () => number;
    readonly getColdShare: (
        target: TargetDescriptor,
        limitPerSecond: number,
    ) => { readonly perSecond: number; readonly burst: number; } | undefined;
    /** Whether a new stream that may be taken up later may begin at a target. */
    readonly mayBegin: (target: TargetDescriptor, isExplaining: boolean) => boolean;
    /** Whether a stream may go on at a target that is listed with its version. */
    readonly mayGoOn: (target: TargetDescriptor) => boolean;
    readonly spill?: SpillInputs | undefined;
}

interface PooledService {
    readonly scheduler: ServiceScheduler;
    readonly retryBudget: SlidingRetryBudget;
}

/** Schedulers and retry budgets of all services. */
export class ServicePool {
    readonly #options: ServicePoolOptions;
    readonly #services = new Map<string, PooledService>();
    /** Identifiers of the targets with load in the last report of each peer. */
    readonly #peerTargets = new Map<string, ReadonlySet<string>>();

    private constructor(options: ServicePoolOptions) {
        this.#options = options;
    }

    /** Creates a pool without services. */
    static create(options: ServicePoolOptions): ServicePool {
        return new ServicePool(options);
    }

    /** Returns a service, or `undefined` if no configuration has named it. */
    find(name: string): PooledService | undefined {
        return this.#services.get(name);
    }

    /** Adds the new services of a configuration and updates the known ones. */
    applyConfiguration(configuration: RouterConfiguration): void {
        const { settings, pressure, usage, promptLocations, crashRecord, limits, notices } = this.#options;
        const { getTokensPerSecond, getColdShare, mayBegin, mayGoOn, spill } = this.#options;
        for (const service of configuration.services.values()) {
            const known = this.#services.get(service.name);
            if (known) {
                known.scheduler.setService(service);
                continue;
            }
            this.#services.set(service.name, {
                scheduler: ServiceScheduler.create({
                    service,
                    pressure,
                    usage,
                    promptLocations,
                    crashRecord,
                    limits,
                    notices,
                    settings: {
                        ...schedulerTuning,
                        locality: settings.locality,
                        regionsByDataCentre: settings.regionsByDataCentre,
                        coldFactor: settings.coldFactor,
                        coldSlack: settings.coldSlack,
                    },
                    getRandom: Math.random,
                    getTokensPerSecond,
                    usesReservations: () => settings.reservesReturns === true,
                    sharesIdleCapacity: settings.sharesIdleCapacity,
                    getColdShare,
                    mayBegin,
                    mayGoOn,
                    spill,
                }),
                retryBudget: SlidingRetryBudget.create({
                    ratio: settings.retryRatio,
                    windowMs: settings.retryWindowMs,
                }),
            });
        }
    }

    /** Replaces the targets of each service. */
    setTargets(targets: readonly TargetDescriptor[], evacuated: ReadonlySet<string>, now: number): void {
        for (const [name, { scheduler }] of this.#services) {
            scheduler.replaceTargets(
                targets.filter(descriptor => descriptor.service === name),
                evacuated,
                now,
            );
        }
        // An error in a request that is granted a target must not keep the list from another service.
        this.advance(now);
    }

    /** Lists the load that this instance has put on targets. */
    listLoads(): readonly (readonly [id: string, inFlight: number, pendingTokens: number])[] {
        return this.#listTargets()
            .filter(target => target.inFlight > 0)
            .map(target =>
                [target.descriptor.id, target.inFlight, Math.round(target.pendingTokens)] as const
            );
    }

    /** Replaces the loads that a peer has put on targets; `validUntil` is a monotonic time in milliseconds. */
    setPeerLoads(
        peer: string,
        loads: readonly (readonly [id: string, inFlight: number, pendingTokens: number])[],
        validUntil: number,
    ): void {
        const reported = new Set(loads.map(([id]) => id));
        for (const id of this.#peerTargets.get(peer) ?? []) {
            if (!reported.has(id)) {
                this.#findTarget(id)?.setPeerLoad(peer, undefined);
            }
        }
        this.#peerTargets.set(peer, reported);
        for (const [id, inFlight, pendingTokens] of loads) {
            this.#findTarget(id)?.setPeerLoad(peer, { inFlight, pendingTokens, validUntil });
        }
    }

    /** Lists the load that this instance and the named peers have put on targets, as last reported. */
    listDataCentreLoads(
        now: number,
        peers: readonly string[],
    ): readonly (readonly [id: string, inFlight: number, pendingTokens: number])[] {
        return this.#listTargets().flatMap(target => {
            const peerLoad = target.sumPeerLoads(peers, now);
            const inFlight = target.inFlight + peerLoad.inFlight;
            return inFlight > 0
                ? [
                    [
                        target.descriptor.id,
                        inFlight,
                        Math.round(target.pendingTokens + peerLoad.pendingTokens),
                    ] as const,
                ]
                : [];
        });
    }

    /** Lists the speeds of the targets of services for which they count. */
    listSpeeds(): readonly (readonly [targetId: string, speed: TargetSpeed])[] {
        return [...this.#services.values()].filter(({ scheduler }) => scheduler.speeds.isActive)
            .flatMap(({ scheduler }) => [...scheduler.targets.values()])
            .map(({ descriptor, speed }) => [descriptor.id, speed] as const);
    }

    /** Lists the services for which the speeds of targets count. */
    listActiveSpeedServices(): readonly string[] {
        return [...this.#services].filter(([, { scheduler }]) => scheduler.speeds.isActive).map(([name]) =>
            name
        );
    }

    /** Adopts the speed of a target that a peer has observed. */
    adoptSpeed(targetId: string, observation: SpeedObservation, now: number): void {
        this.#findTarget(targetId)?.adoptSpeed(observation, now);
    }

    /** Counts the promises to refused requests that are open, and those that ended with a grant and without one. */
    countPromises(now: number): ReturnType<ServiceScheduler["returns"]["countPromises"]> {
        const counts = [...this.#services.values()].map(({ scheduler }) =>
            scheduler.returns.countPromises(now)
        );
        return counts.reduce(
            (sum, { open, kept, lapsed }) => ({
                open: sum.open + open,
                kept: sum.kept + kept,
                lapsed: sum.lapsed + lapsed,
            }),
            { open: 0, kept: 0, lapsed: 0 },
        );
    }

    #listTargets(): readonly TargetState[] {
        return [...this.#services.values()].flatMap(({ scheduler }) => [...scheduler.targets.values()]);
    }

    #findTarget(id: string): TargetState | undefined {
        for (const { scheduler } of this.#services.values()) {
            const target = scheduler.targets.get(id);
            if (target) {
                return target;
            }
        }
        return undefined;
    }

    /** Grants targets to waiting requests and refuses those that cannot meet their latency objective any more. */
    advance(now: number): void {
        for (const { scheduler } of this.#services.values()) {
            scheduler.advance(now);
        }
    }
}
