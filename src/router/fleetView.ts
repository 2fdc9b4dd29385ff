import type { ChangeReaders } from "../core/routing/changeReaders.js";
import { computeColdShare } from "../core/routing/computeColdShare.js";
import { findChangeReaders } from "../core/routing/findChangeReaders.js";
import { LatestTimeOfDay } from "../core/routing/latestTimeOfDay.js";
import { listCallerAddresses } from "../core/routing/listCallerAddresses.js";
import { listNearestMembers } from "../core/routing/listNearestMembers.js";
import type { Locality } from "../core/routing/locality.js";
import type { MemberRecord } from "../core/routing/memberRecord.js";
import type { Membership } from "../core/routing/membership.js";
import { pickReportRole } from "../core/routing/pickReportRole.js";
import type { ReportRole } from "../core/routing/reportRole.js";
import { SentReports } from "../core/routing/sentReports.js";
import type { TargetDescriptor } from "../core/routing/targetDescriptor.js";
import { pickRandom } from "../shared/pickRandom.js";
import { buildMemberRecord } from "./buildMemberRecord.js";
import { createMembership } from "./createMembership.js";
import type { FleetViewOptions } from "./fleetViewOptions.js";
import { parsePeerReport } from "./parsePeerReport.js";
import { parsePermitMessage } from "./parsePermitMessage.js";
import { PermitExchange } from "./permitExchange.js";
import { ReportReceiver } from "./reportReceiver.js";
import { ReportSender } from "./reportSender.js";

/** Interval of the reports and summaries within a data centre, whose instances share their targets. */
const REPORT_INTERVAL_MS = 150;
/** The second delegate sends the summaries if there was none of the first for this long. */
const DELEGATE_TIMEOUT_MS = 400;
/** A starting instance uses no cold targets for this long: it does not know yet how many instances share their limit. */
const MEMBER_DISCOVERY_MS = 2000;

/** Tracks the other instances of the fleet and exchanges reports of load and usage with them. */
export class FleetView {
    readonly #options: FleetViewOptions;
    readonly #membership: Membership;
    readonly #receiver: ReportReceiver;
    readonly #sender: ReportSender;
    readonly #permits: PermitExchange;
    #incarnation = Date.now();
    readonly #timeOfDay = LatestTimeOfDay.create();
    readonly #startedAt: number;
    #sequence = 0;
    #role: ReportRole = { kind: "mesh", rank: 0, delegates: [] };
    #timer: NodeJS.Timeout | undefined;

    private constructor(options: FleetViewOptions) {
        this.#options = options;
        this.#membership = createMembership(options.settings.locality.dataCentre);
        const sentReports = SentReports.create();
        this.#receiver = ReportReceiver.create({ ...options, sentReports });
        this.#sender = ReportSender.create({
            ...options,
            sentReports,
            listPeers: () => this.#listPeers(),
            buildRecord: () => this.#buildNextRecord(),
            send: (report, hosts) => options.exchange.send(report, hosts),
        });
        this.#startedAt = options.getNow();
        this.#permits = PermitExchange.create({
            ...options,
            membership: this.#membership,
            buildRecord: () => this.#buildNextRecord(),
            send: (message, host) => options.exchange.send(message, [host]),
            startedAt: this.#startedAt,
        });
    }

    /** Starts to receive and to send reports. */
    static create(options: FleetViewOptions): FleetView {
        const view = new FleetView(options);
        options.exchange.attach((message, sender) =>
            options.errorBoundary.run("peer-report", () => view.#receive(message, sender))
        );
        options.errorBoundary.run("peer-report", () => view.#sender.reportToSeeds(options.getNow()));
        view.#timer = setInterval(
            () => options.errorBoundary.run("peer-report", () => view.#sendReports()),
            REPORT_INTERVAL_MS,
        );
        return view;
    }

    /** Number of live peers. */
    countPeers(): number {
        return this.#listPeers().length;
    }

    /** Lists the live instances, with this one. */
    listMembers(): readonly MemberRecord[] {
        return [this.#describeSelf(), ...this.#listPeers()];
    }

    /** Lists the IP addresses of the live peers and of the seeds, which may be live. */
    listPeerHosts(): readonly string[] {
        const { seedHosts, peerAddress } = this.#options.settings;
        const hosts = [...seedHosts, ...this.#listPeers().map(peer => peer.ip)];
        return [...new Set(hosts)].filter(host => host !== peerAddress.host);
    }

    /** Sends a message to the instance at a host, without a guarantee of delivery. */
    send(message: unknown, host: string): void {
        this.#options.exchange.send(message, [host]);
    }

    /** Lists the addresses that a caller in a locality should use. */
    listCallerAddresses(caller: Locality, callerKey: string): readonly string[] {
        return listCallerAddresses(this.listMembers(), caller, callerKey);
    }

    /** Finds the peers in this data centre from which the platform's changes are read. */
    findReaders(): ChangeReaders {
        const { instance, maxChangeDelayMs } = this.#options.settings;
        const peers = this.#listLocalPeers().filter(peer => peer.state !== "closed");
        return findChangeReaders(instance, peers, maxChangeDelayMs);
    }

    /** Lists the live peers of the data centre that accept callers and are not busy. */
    listOpenPeers(): readonly MemberRecord[] {
        return this.#listLocalPeers().filter(({ state }) => state === "open");
    }

    /** Returns this instance's share of the request limit of a cold target; `undefined` if it may not use it. */
    getColdShare(
        target: TargetDescriptor,
        limitPerSecond: number,
    ): { readonly perSecond: number; readonly burst: number; } | undefined {
        const { settings, getNow } = this.#options;
        const now = getNow();
        if (now - this.#startedAt < MEMBER_DISCOVERY_MS) {
            return undefined;
        }
        const members = [this.#describeSelf(), ...this.#membership.listKnown(now)];
        const users = listNearestMembers(members, target.dataCentre, settings.regionsByDataCentre);
        return computeColdShare(
            target.id,
            limitPerSecond,
            settings.instance,
            users.map(member => member.name),
        );
    }

    /** Sends a report to all peers immediately, after a change of state. */
    notifyPeers(): void {
        this.#sender.sendReport(this.#listPeers(), this.#options.getNow());
    }

    /** Stops the reports and closes the socket. */
    close(): void {
        clearInterval(this.#timer);
        this.#options.exchange.close();
    }

    #listPeers(): readonly MemberRecord[] {
        return this.#membership.listLive(this.#options.getNow());
    }

    #describeSelf(): MemberRecord {
        const { settings, getState } = this.#options;
        const [incarnation, sequence] = [this.#incarnation, this.#sequence];
        return buildMemberRecord(settings, { incarnation, sequence, state: getState() });
    }

    #buildNextRecord(): MemberRecord {
        this.#sequence += 1;
        return this.#describeSelf();
    }

    #listLocalPeers(): readonly MemberRecord[] {
        const { dataCentre } = this.#options.settings.locality;
        return this.#listPeers().filter(peer => peer.dataCentre === dataCentre);
    }

    #sendReports(): void {
        const { promptLocations, crashRecord, limits, speedReports, speedLog, getNow, getState } =
            this.#options;
        const now = getNow();
        this.#permits.advance(getState() === "closed", now);
        const localPeers = this.#listLocalPeers();
        const role = pickReportRole(this.#describeSelf(), localPeers);
        this.#role = role;
        const usesDelegates = role.kind === "delegate"
            || (role.kind === "member" && this.#receiver.hasSummary(now));
        // One more peer learns of this instance even if no delegate can hear it.
        const receivers = usesDelegates
            ? [
                ...role.delegates,
                ...pickRandom(localPeers, 1),
                ...localPeers.filter(({ name }) => name === limits.coordinator),
            ]
            : localPeers;
        const uniqueReceivers = [...new Set(receivers)];
        this.#sender.sendReport(uniqueReceivers, now, {
            prompts: promptLocations.takePending(now),
            crashOutcomes: crashRecord.takeReport("peers", now),
            speeds: speedReports.take("instance", uniqueReceivers.length, now),
        });
        const isFirst = role.rank === 0 || !this.#receiver.hasSummary(now, DELEGATE_TIMEOUT_MS);
        if (role.kind === "delegate" && isFirst) {
            this.#sender.sendLocalSummary(localPeers, this.#receiver.listIncluded(now), now);
        }
        this.#sender.sendRemoteSummary(role, now);
        this.#sender.reportToSeeds(now);
        speedLog.check(now);
    }

    #receive(message: unknown, senderHost: string): void {
        const { log, settings, streamOrigins, startNotices, getNow } = this.#options;
        if (streamOrigins.receive(message, senderHost)) {
            return;
        }
        const now = getNow();
        const timeOfDay = this.#timeOfDay.update(now, Date.now());
        const permitMessage = parsePermitMessage(message, timeOfDay);
        if (permitMessage) {
            this.#permits.receive(permitMessage, record => this.#adopt(record, now), now);
            return;
        }
        const report = parsePeerReport(message, timeOfDay);
        if (!report) {
            log.write("peer-report-invalid", { from: senderHost });
            return;
        }
        const isNewer = this.#adopt(report.sender, now);
        report.others.forEach(record => this.#adopt(record, now));
        report.included?.forEach(status => this.#membership.renew(status, now));
        if (report.sender.name === settings.instance) {
            return;
        }
        if (startNotices.receive(report, isNewer)) {
            this.#sender.reportOlderPeer(now);
        }
        if (!isNewer) {
            return;
        }
        this.#receiver.apply(report, this.#role, now);
        // A summary is forwarded if it came directly from its remote sender and not through a peer.
        if (
            report.scope === "data-centre" && report.sender.dataCentre !== settings.locality.dataCentre
            && senderHost === report.sender.ip
        ) {
            // Its speeds are part of the next summary of this data centre, within the same bound of bytes.
            const forwarded = { ...report, speeds: undefined };
            this.#options.exchange.send(forwarded, this.#listLocalPeers().map(peer => peer.ip));
        }
    }

    #adopt(record: MemberRecord, now: number): boolean {
        if (record.name === this.#options.settings.instance) {
            // After a restart with a clock that is behind, peers would prefer the records of the process before.
            if (record.incarnation > this.#incarnation) {
                this.#incarnation = record.incarnation + 1;
            }
            return false;
        }
        const result = this.#membership.adopt(record, now);
        if (result === "new" || result === "changed") {
            this.#options.log.write("peer-changed", { peer: record.name, state: record.state, result });
        }
        if (result === "new") {
            this.#options.startNotices.recordNewPeer(now);
            // Introduces this instance and some members it knows to the new one, without waiting for the next report.
            this.#sender.sendReport([record], now);
        }
        return result !== "stale";
    }
}
