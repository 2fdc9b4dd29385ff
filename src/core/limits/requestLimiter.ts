import type { Locality } from "../routing/locality.js";
import type { MemberRecord } from "../routing/memberRecord.js";
import type { TargetDescriptor } from "../routing/targetDescriptor.js";
import { CoordinatorVote } from "./coordinatorVote.js";
import { DemandMeter } from "./demandMeter.js";
import { findLimitHome } from "./findLimitHome.js";
import { LimitCoordinator } from "./limitCoordinator.js";
import type { LimitGate } from "./limitGate.js";
import type { LimitReport } from "./limitReport.js";
import type { LimitStatement } from "./limitStatement.js";
import type { PermitGrant } from "./permitGrant.js";
import { PermitStock } from "./permitStock.js";
import { PermitUsage } from "./permitUsage.js";
import type { ReportScope } from "./reportScope.js";
import { TargetLimits } from "./targetLimits.js";

interface RequestLimiterOptions {
    readonly instance: string;
    readonly locality: Locality;
    readonly regionsByDataCentre: ReadonlyMap<string, string>;
    /** Monotonic time in milliseconds. */
    readonly startedAt: number;
    /** `perSecond` is `undefined` if the limit is lifted. */
    readonly onLimitChanged: (
        target: string,
        perSecond: number | undefined,
        source: "response" | "peer",
    ) => void;
    /** Called for a limit that was not taken as written; `text` says why. */
    readonly onUnusualLimit: (target: string, text: string) => void;
}

interface FleetMembers {
    /** Other live instances. */
    readonly live: readonly MemberRecord[];
    /** Other instances, with those that went down lately. */
    readonly known: readonly MemberRecord[];
    readonly isClosed: boolean;
    /** True if the instance expects peers and has heard of none since its start. */
    readonly isIsolated: boolean;
}

/** A permit that is not used for this long expires. */
const PERMIT_VALIDITY_MS = 800;
/** A permit that expires within this time is left to requests of accounts over their share. */
const SPARE_MS = 300;
/** A starting instance backs no coordinator for this long: it does not know yet how many instances share a limit. */
const DISCOVERY_MS = 2000;

/** Keeps the request limits that targets name, for this instance and, if others back it, as their coordinator. */
export class RequestLimiter implements LimitGate {
    readonly #options: RequestLimiterOptions;
    readonly #limits = TargetLimits.create();
    readonly #permits = PermitStock.create();
    readonly #demand = DemandMeter.create();
    readonly #coordinator: LimitCoordinator;
    readonly #vote: CoordinatorVote;
    readonly #usage = PermitUsage.create();
    readonly #unusual = new Map<string, string>();
    #targets: ReadonlyMap<string, TargetDescriptor> = new Map();
    #memberCount = 1;
    #isIsolated = false;

    private constructor(options: RequestLimiterOptions) {
        this.#options = options;
        this.#coordinator = LimitCoordinator.create(options.instance);
        this.#vote = CoordinatorVote.create(options.startedAt + DISCOVERY_MS);
    }

    /** Creates a limiter that knows no limit. */
    static create(options: RequestLimiterOptions): RequestLimiter {
        return new RequestLimiter(options);
    }

    /** Number of targets with a limit. */
    get limitedCount(): number {
        return this.#limits.count();
    }

    /** Instance that divides limits for this one, which needs its reports; `undefined` while no target has a limit. */
    get coordinator(): string | undefined {
        return this.#limits.isIdle("instance") ? undefined : this.#vote.next;
    }

    /** Replaces the list of targets; limits of others are forgotten. */
    setTargets(targets: readonly TargetDescriptor[], now: number): void {
        this.#targets = new Map(targets.map(target => [target.id, target]));
        this.#limits.keep(new Set(this.#targets.keys()));
        new Set(targets.map(({ service }) => service)).forEach(service => this.#updateUsage(service, now));
        for (const target of this.#unusual.keys()) {
            if (!this.#targets.has(target)) {
                this.#unusual.delete(target);
            }
        }
    }

    /** Applies what a response says of the limit of its target, whose request was sent at `sentAt`. */
    observe(target: string, statement: LimitStatement, sentAt: number, now: number): void {
        if (!this.#targets.has(target)) {
            return;
        }
        const text = statement.kind === "none" ? undefined : statement.reason;
        if (text !== undefined && this.#unusual.get(target) !== text) {
            this.#unusual.set(target, text);
            this.#options.onUnusualLimit(target, text);
        }
        if (this.#limits.observe(target, statement, sentAt, now)) {
            this.#recordChange(target, "response", now);
        }
    }

    isLimited(target: string): boolean {
        return this.#limits.get(target) !== undefined;
    }

    isOpen(target: string, now: number): boolean {
        return !this.isLimited(target) || this.#permits.has(target, now);
    }

    hasSpare(target: string, now: number): boolean {
        return this.isLimited(target) && this.#permits.hasExpiring(target, now, now + SPARE_MS);
    }

    takePermit(target: string, now: number): void {
        if (this.isLimited(target) && this.#permits.tryTake(target, now)) {
            this.#usage.addUsed(this.#getService(target), now);
        }
    }

    addRequest(service: string, now: number): void {
        this.#demand.addRequest(service, now);
    }

    addRefusal(service: string, now: number): void {
        this.#demand.addRefusal(service, now);
    }

    getPermitsPerSecond(service: string, now: number): number | undefined {
        return this.#usage.getPerSecond(service, now);
    }

    /** Builds the part of the next report that concerns limits; `undefined` while there is nothing to tell. */
    buildReport(now: number): LimitReport | undefined {
        return this.#limits.isIdle("instance")
            ? undefined
            : { ...this.#describeSelf(now), news: this.#limits.takeNews("instance", now) };
    }

    /** Builds the same for a summary of the data centre. */
    buildSummary(scope: Exclude<ReportScope, "instance">, now: number): LimitReport | undefined {
        return this.#limits.isIdle(scope)
            ? undefined
            : {
                news: this.#limits.takeNews(scope, now),
                demands: scope === "data-centre"
                    ? this.#coordinator.sumDemands(this.#describeSelf(now), now)
                    : [],
                memberCount: this.#memberCount,
            };
    }

    /** Applies the report of a peer, or the summary of a data centre. */
    applyReport(
        report: LimitReport,
        sender: MemberRecord,
        scope: ReportScope,
        now: number,
    ): void {
        const news = report.news.filter(([target]) => this.#targets.has(target));
        this.#limits.adopt(news, now).forEach(target => this.#recordChange(target, "peer", now));
        const isLocal = sender.dataCentre === this.#options.locality.dataCentre;
        if (isLocal && scope === "instance") {
            this.#coordinator.setMember(sender.name, report, now);
        }
        else if (!isLocal && scope === "data-centre") {
            this.#coordinator.setRemote(sender.name, report, now);
        }
    }

    /** Picks the coordinator to back, and returns the permits that this instance hands to others as a coordinator. */
    advance(members: FleetMembers, now: number): readonly PermitGrant[] {
        const { instance, locality } = this.#options;
        const { dataCentre } = locality;
        this.#memberCount = 1 + members.known.filter(member => member.dataCentre === dataCentre).length;
        this.#isIsolated = members.isIsolated;
        if (this.#limits.count() === 0) {
            return [];
        }
        const peers = members.live.filter(member => member.dataCentre === dataCentre);
        const candidates = [
            { name: instance, isClosed: members.isClosed },
            ...peers.map(({ name, state }) => ({ name, isClosed: state === "closed" })),
        ];
        this.#vote.update(candidates, this.#coordinator.listBacked(now), now);
        const targets = this.#listHomeTargets([locality, ...members.known]);
        const own = this.#describeSelf(now);
        return this.#keepOwn(this.#coordinator.advance({ targets, own, now }), now);
    }

    /** Stores permits from a coordinator, and returns those that go on to other instances of the data centre. */
    applyPermits(
        permits: PermitGrant["permits"],
        sender: MemberRecord,
        now: number,
    ): readonly PermitGrant[] {
        const { instance, locality } = this.#options;
        if (sender.dataCentre === locality.dataCentre) {
            return this.#keepOwn([{ recipient: instance, permits }], now);
        }
        const own = this.#describeSelf(now);
        const getService = (target: string): string => this.#getService(target);
        return this.#keepOwn(this.#coordinator.grantReceived(permits, getService, own, now), now);
    }

    /** Lists the targets whose limits the data centre of this instance divides. */
    #listHomeTargets(places: readonly Locality[]): Parameters<LimitCoordinator["advance"]>[0]["targets"] {
        const { locality, regionsByDataCentre } = this.#options;
        const limited = this.#limits.listLimited().flatMap(id => this.#targets.get(id) ?? []);
        const homes = new Map(
            [...new Set(limited.map(({ dataCentre }) => dataCentre))].map(dataCentre =>
                [dataCentre, findLimitHome(dataCentre, places, regionsByDataCentre)] as const
            ),
        );
        return limited.filter(({ dataCentre }) => homes.get(dataCentre) === locality.dataCentre)
            .map(({ id, service }) => ({ id, service, perSecond: this.#limits.get(id) ?? 0 }));
    }

    #describeSelf(now: number): LimitReport {
        return {
            news: [],
            // What an instance cannot use goes to others, demand or not.
            demands: this.#demand.list(now).map(([service, perSecond, refused]) =>
                [service, perSecond * this.#usage.getUsedShare(service, now) ** 2, refused] as const
            ),
            coordinator: this.#isIsolated ? undefined : this.#vote.get(now),
            memberCount: this.#memberCount,
        };
    }

    #updateUsage(service: string, now: number): void {
        const isLimited = this.#limits.listLimited().some(id => this.#getService(id) === service);
        this.#usage.setLimited(service, isLimited, now);
    }

    #getService(target: string): string {
        return this.#targets.get(target)?.service ?? "";
    }

    #keepOwn(grants: readonly PermitGrant[], now: number): readonly PermitGrant[] {
        const { instance } = this.#options;
        for (const { permits } of grants.filter(({ recipient }) => recipient === instance)) {
            for (const [target, count] of permits) {
                this.#permits.add(target, count, now + PERMIT_VALIDITY_MS);
                this.#usage.addReceived(this.#getService(target), count, now);
            }
        }
        return grants.filter(({ recipient }) => recipient !== instance);
    }

    #recordChange(target: string, source: "response" | "peer", now: number): void {
        const perSecond = this.#limits.get(target);
        this.#updateUsage(this.#getService(target), now);
        this.#options.onLimitChanged(target, perSecond, source);
    }
}
