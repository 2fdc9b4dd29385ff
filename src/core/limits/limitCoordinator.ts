import { CoordinatorVote } from "./coordinatorVote.js";
import type { LimitReport } from "./limitReport.js";
import { PermitDivider } from "./permitDivider.js";
import type { PermitGrant } from "./permitGrant.js";

interface LimitedTarget {
    readonly id: string;
    readonly service: string;
    readonly perSecond: number;
}

interface MemberReport {
    readonly report: LimitReport;
    /** Monotonic time in milliseconds. */
    readonly validUntil: number;
}

interface PermitBucket {
    permits: number;
    filledAt: number;
}

interface AdvanceInputs {
    readonly instance: string;
    /** Targets whose limits the data centre of this instance divides. */
    readonly targets: readonly LimitedTarget[];
    /** Report of this instance itself. */
    readonly own: LimitReport;
    readonly now: number;
}

/** Demand is used for longer than a vote, since a wrong division breaks no limit. */
const DEMAND_VALIDITY_MS = 1500;
/** Longest time for which unused permits of a target are saved up, so that a suspended process does not catch up. */
const MAX_SAVING_MS = 300;
/** Permits beyond the demand of the own data centre that stay there, so that its callers need not wait for them. */
const LOCAL_HEADROOM = 1.2;
const MS_PER_SECOND = 1000;

/**
 * Divides the request limits of targets among instances by their demand. The rate that a coordinator may hand out is the
 * limit times the share of the known instances of its data centre that back it: coordinators in two halves of a
 * partition share the limit, and an instance alone has its own part only.
 */
export class LimitCoordinator {
    readonly #members = new Map<string, MemberReport>();
    readonly #remotes = new Map<string, MemberReport>();
    readonly #buckets = new Map<string, PermitBucket>();
    readonly #dividers = new Map<string, PermitDivider>();

    /** Creates a coordinator that nobody backs. */
    static create(): LimitCoordinator {
        return new LimitCoordinator();
    }

    /** Replaces the report of an instance of the same data centre. */
    setMember(name: string, report: LimitReport, now: number): void {
        this.#members.set(name, { report, validUntil: now + DEMAND_VALIDITY_MS });
    }

    /** Replaces the summary of a remote data centre; permits for it go to the sender of the summary. */
    setRemote(sender: string, report: LimitReport, now: number): void {
        this.#remotes.set(sender, { report, validUntil: now + DEMAND_VALIDITY_MS });
    }

    /** Lists the coordinators that the other instances of the data centre back. */
    listBacked(now: number): readonly string[] {
        return this.#listFresh(this.#members, now).flatMap(([, { coordinator }]) => coordinator ?? []);
    }

    /** Sums the demand of the instances of the data centre, this one included. */
    sumDemands(own: LimitReport, now: number): LimitReport["demands"] {
        const totals = new Map<string, readonly [number, number]>();
        for (const [, report] of [["", own] as const, ...this.#listFresh(this.#members, now)]) {
            for (const [service, perSecond, refused] of report.demands) {
                const [sum, refusedSum] = totals.get(service) ?? [0, 0];
                totals.set(service, [sum + perSecond, refusedSum + refused]);
            }
        }
        return [...totals].map(([service, [sum, refused]]) => [service, sum, refused] as const);
    }

    /** Returns the permits that are due, for this instance and for others. */
    advance({ instance, targets, own, now }: AdvanceInputs): readonly PermitGrant[] {
        this.#dropExpired(now);
        const share = this.#computeShare(instance, own, now);
        const known = new Set(targets.map(({ id }) => id));
        [...this.#buckets.keys()].filter(id => !known.has(id)).forEach(id => this.#buckets.delete(id));
        const grants = new Map<string, Map<string, number>>();
        for (const service of new Set(targets.map(target => target.service))) {
            const ofService = targets.filter(target => target.service === service);
            const supply = share * ofService.reduce((sum, { perSecond }) => sum + perSecond, 0);
            const weights = this.#computeWeights(service, supply, instance, own, now);
            const hasDemand = [...weights.values()].some(weight => weight > 0);
            for (const target of ofService) {
                const count = this.#takeDue(target, target.perSecond * share, hasDemand, now);
                for (const recipient of this.#getDivider(service).grant(count, weights)) {
                    const permits = grants.get(recipient) ?? new Map<string, number>();
                    permits.set(target.id, (permits.get(target.id) ?? 0) + 1);
                    grants.set(recipient, permits);
                }
            }
        }
        return [...grants].map(([recipient, permits]) => ({ recipient, permits: [...permits] }));
    }

    /** Divides permits that another data centre has handed to this one among its instances. */
    grantReceived(
        permits: PermitGrant["permits"],
        getService: (target: string) => string | undefined,
        instance: string,
        own: LimitReport,
        now: number,
    ): readonly PermitGrant[] {
        const grants = new Map<string, [string, number][]>();
        for (const [target, count] of permits) {
            const service = getService(target) ?? "";
            const weights = this.#listLocalDemand(service, instance, own, now);
            for (const recipient of this.#getDivider(`received ${service}`).grant(count, weights)) {
                grants.set(recipient, [...grants.get(recipient) ?? [], [target, 1]]);
            }
        }
        return [...grants].map(([recipient, divided]) => ({ recipient, permits: divided }));
    }

    /** Share of each limit, from 0 to 1, that the instances which back this one have left to it. */
    #computeShare(instance: string, own: LimitReport, now: number): number {
        const fresh = this.#listFresh(this.#members, now + DEMAND_VALIDITY_MS - CoordinatorVote.validityMs);
        const backers = [["", own] as const, ...fresh].filter(([, report]) =>
            report.coordinator === instance
        );
        const memberCount = Math.max(own.memberCount, ...backers.map(([, report]) => report.memberCount));
        return backers.length / Math.max(memberCount, backers.length);
    }

    #computeWeights(
        service: string,
        supply: number,
        instance: string,
        own: LimitReport,
        now: number,
    ): ReadonlyMap<string, number> {
        const weights = new Map(this.#listLocalDemand(service, instance, own, now));
        const localDemand = [...weights.values()].reduce((sum, weight) => sum + weight, 0);
        const spare = supply - localDemand * LOCAL_HEADROOM;
        const remotes = this.#listFresh(this.#remotes, now)
            .map(([name, { demands }]) => [name, findDemand(demands, service)?.[2] ?? 0] as const);
        const refused = remotes.reduce((sum, [, perSecond]) => sum + perSecond, 0);
        if (spare > 0 && refused > 0) {
            remotes.forEach(([name, perSecond]) =>
                weights.set(name, Math.min(spare, refused) * perSecond / refused)
            );
        }
        return weights;
    }

    #listLocalDemand(
        service: string,
        instance: string,
        own: LimitReport,
        now: number,
    ): ReadonlyMap<string, number> {
        return new Map(
            [[instance, own] as const, ...this.#listFresh(this.#members, now)]
                .map(([name, { demands }]) => [name, findDemand(demands, service)?.[1] ?? 0] as const)
                .filter(([, perSecond]) => perSecond > 0),
        );
    }

    #takeDue(target: LimitedTarget, perSecond: number, hasDemand: boolean, now: number): number {
        const bucket = this.#buckets.get(target.id) ?? { permits: 0, filledAt: now };
        const most = 1 + perSecond * MAX_SAVING_MS / MS_PER_SECOND;
        const permits = Math.min(most, bucket.permits + (now - bucket.filledAt) * perSecond / MS_PER_SECOND);
        const count = hasDemand ? Math.floor(permits) : 0;
        this.#buckets.set(target.id, { permits: permits - count, filledAt: now });
        return count;
    }

    #getDivider(key: string): PermitDivider {
        const divider = this.#dividers.get(key) ?? PermitDivider.create();
        this.#dividers.set(key, divider);
        return divider;
    }

    #dropExpired(now: number): void {
        for (const reports of [this.#members, this.#remotes]) {
            for (const [name, { validUntil }] of reports) {
                if (validUntil <= now) {
                    reports.delete(name);
                }
            }
        }
    }

    #listFresh(
        reports: ReadonlyMap<string, MemberReport>,
        now: number,
    ): readonly (readonly [name: string, report: LimitReport])[] {
        return [...reports].flatMap(([name, { report, validUntil }]) =>
            validUntil > now ? [[name, report] as const] : []
        );
    }
}

function findDemand(
    demands: LimitReport["demands"],
    service: string,
): LimitReport["demands"][number] | undefined {
    return demands.find(([name]) => name === service);
}
