import { CoordinatorVote } from "./coordinatorVote.js";
import type { LimitReport } from "./limitReport.js";
import { PermitDivider } from "./permitDivider.js";
import type { PermitGrant } from "./permitGrant.js";

interface LimitedTarget {
    readonly id: string;
    readonly service: string;
    readonly perSecond: number;
}

interface ReceivedReport {
    readonly report: LimitReport;
    /** Monotonic time in milliseconds. */
    readonly receivedAt: number;
}

interface PermitBucket {
    permits: number;
    filledAt: number;
}

interface Division {
    readonly target: string;
    readonly count: number;
    readonly divider: PermitDivider;
    readonly weights: ReadonlyMap<string, number>;
}

interface AdvanceInputs {
    /** Targets whose limits the data centre of this instance divides. */
    readonly targets: readonly LimitedTarget[];
    /** Report of this instance itself. */
    readonly own: LimitReport;
    readonly now: number;
}

type NamedReport = readonly [name: string, report: LimitReport];

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
    readonly #instance: string;
    readonly #members = new Map<string, ReceivedReport>();
    readonly #remotes = new Map<string, ReceivedReport>();
    readonly #buckets = new Map<string, PermitBucket>();
    readonly #dividers = new Map<string, PermitDivider>();

    private constructor(instance: string) {
        this.#instance = instance;
    }

    /** Creates the coordinator of an instance that nobody backs. */
    static create(instance: string): LimitCoordinator {
        return new LimitCoordinator(instance);
    }

    /** Replaces the report of an instance of the same data centre. */
    setMember(name: string, report: LimitReport, now: number): void {
        this.#members.set(name, { report, receivedAt: now });
    }

    /** Replaces the summary of a remote data centre; permits for it go to the sender of the summary. */
    setRemote(sender: string, report: LimitReport, now: number): void {
        this.#remotes.set(sender, { report, receivedAt: now });
    }

    /** Lists the coordinators that the other instances of the data centre back. */
    listBacked(now: number): readonly string[] {
        return listRecent(this.#members, now).flatMap(([, { coordinator }]) => coordinator ?? []);
    }

    /** Sums the demand of the instances of the data centre, this one included. */
    sumDemands(own: LimitReport, now: number): LimitReport["demands"] {
        const totals = new Map<string, readonly [number, number]>();
        for (const [, { demands }] of this.#listLocal(own, now)) {
            for (const [service, perSecond, refused] of demands) {
                const [sum, refusedSum] = totals.get(service) ?? [0, 0];
                totals.set(service, [sum + perSecond, refusedSum + refused]);
            }
        }
        return [...totals].map(([service, [sum, refused]]) => [service, sum, refused] as const);
    }

    /** Returns the permits that are due, for this instance and for others. */
    advance({ targets, own, now }: AdvanceInputs): readonly PermitGrant[] {
        this.#dropUnused(targets, now);
        const share = this.#computeShare(own, now);
        const services = [...new Set(targets.map(({ service }) => service))];
        return grantPermits(services.flatMap(service => {
            const ofService = targets.filter(target => target.service === service);
            const supply = share * ofService.reduce((sum, { perSecond }) => sum + perSecond, 0);
            const weights = this.#computeWeights(service, supply, own, now);
            const hasDemand = [...weights.values()].some(weight => weight > 0);
            const divider = this.#getDivider(service);
            return ofService.map(target => ({
                target: target.id,
                count: this.#takeDue(target, target.perSecond * share, hasDemand, now),
                divider,
                weights,
            }));
        }));
    }

    /** Divides permits that another data centre has handed to this one among its instances. */
    grantReceived(
        permits: PermitGrant["permits"],
        getService: (target: string) => string,
        own: LimitReport,
        now: number,
    ): readonly PermitGrant[] {
        return grantPermits(permits.map(([target, count]) => {
            const service = getService(target);
            const divider = this.#getDivider(`received ${service}`);
            return { target, count, divider, weights: this.#listLocalDemand(service, own, now) };
        }));
    }

    /** Share of each limit, from 0 to 1, that the instances which back this one have left to it. */
    #computeShare(own: LimitReport, now: number): number {
        const backers = this.#listLocal(own, now, CoordinatorVote.validityMs)
            .filter(([, { coordinator }]) => coordinator === this.#instance);
        const memberCount = Math.max(own.memberCount, ...backers.map(([, report]) => report.memberCount));
        return backers.length / Math.max(memberCount, backers.length);
    }

    #computeWeights(
        service: string,
        supply: number,
        own: LimitReport,
        now: number,
    ): ReadonlyMap<string, number> {
        const weights = this.#listLocalDemand(service, own, now);
        const localDemand = [...weights.values()].reduce((sum, weight) => sum + weight, 0);
        const spare = supply - localDemand * LOCAL_HEADROOM;
        const remotes = listRecent(this.#remotes, now)
            .map(([name, { demands }]) => [name, findDemand(demands, service)?.[2] ?? 0] as const);
        const refused = remotes.reduce((sum, [, perSecond]) => sum + perSecond, 0);
        if (spare > 0 && refused > 0) {
            remotes.forEach(([name, perSecond]) =>
                weights.set(name, Math.min(spare, refused) * perSecond / refused)
            );
        }
        return weights;
    }

    #listLocalDemand(service: string, own: LimitReport, now: number): Map<string, number> {
        return new Map(
            this.#listLocal(own, now)
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

    #dropUnused(targets: readonly LimitedTarget[], now: number): void {
        const known = new Set(targets.map(({ id }) => id));
        for (const id of this.#buckets.keys()) {
            if (!known.has(id)) {
                this.#buckets.delete(id);
            }
        }
        for (const reports of [this.#members, this.#remotes]) {
            for (const [name, { receivedAt }] of reports) {
                if (now - receivedAt >= DEMAND_VALIDITY_MS) {
                    reports.delete(name);
                }
            }
        }
    }

    /** Lists the own report and the recent ones of the other instances of the data centre. */
    #listLocal(own: LimitReport, now: number, validityMs = DEMAND_VALIDITY_MS): readonly NamedReport[] {
        return [[this.#instance, own], ...listRecent(this.#members, now, validityMs)];
    }
}

function listRecent(
    reports: ReadonlyMap<string, ReceivedReport>,
    now: number,
    validityMs = DEMAND_VALIDITY_MS,
): readonly NamedReport[] {
    return [...reports].flatMap(([name, { report, receivedAt }]) =>
        now - receivedAt < validityMs ? [[name, report] as const] : []
    );
}

/** Divides the permits of each target, and collects them by recipient. */
function grantPermits(divisions: readonly Division[]): readonly PermitGrant[] {
    const grants = new Map<string, Map<string, number>>();
    for (const { target, count, divider, weights } of divisions) {
        for (const recipient of divider.grant(count, weights)) {
            const permits = grants.get(recipient) ?? new Map<string, number>();
            grants.set(recipient, permits.set(target, (permits.get(target) ?? 0) + 1));
        }
    }
    return [...grants].map(([recipient, permits]) => ({ recipient, permits: [...permits] }));
}

function findDemand(
    demands: LimitReport["demands"],
    service: string,
): LimitReport["demands"][number] | undefined {
    return demands.find(([name]) => name === service);
}
