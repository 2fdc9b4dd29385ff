import type { AccountUsage } from "../core/routing/accountUsage.js";
import type { ChangeReaders } from "../core/routing/changeReaders.js";
import { computeColdShare } from "../core/routing/computeColdShare.js";
import { findChangeReaders } from "../core/routing/findChangeReaders.js";
import { listCallerAddresses } from "../core/routing/listCallerAddresses.js";
import { listColdTargetUsers } from "../core/routing/listColdTargetUsers.js";
import { listDelegates } from "../core/routing/listDelegates.js";
import type { Locality } from "../core/routing/locality.js";
import type { MemberRecord } from "../core/routing/memberRecord.js";
import type { Membership } from "../core/routing/membership.js";
import { pickReaders } from "../core/routing/pickReaders.js";
import type { PromptLocations } from "../core/routing/promptLocations.js";
import { SummarySchedule } from "../core/routing/summarySchedule.js";
import type { TargetDescriptor } from "../core/routing/targetDescriptor.js";
import { pickRandom } from "../shared/pickRandom.js";
import { buildMemberRecord } from "./buildMemberRecord.js";
import { createMembership } from "./createMembership.js";
import type { LogSink } from "./logSink.js";
import { parsePeerReport } from "./parsePeerReport.js";
import { PeerExchange } from "./peerExchange.js";
import type { PeerReport } from "./peerReport.js";
import type { RouterSettings } from "./routerSettings.js";

interface FleetViewOptions {
    readonly settings: RouterSettings;
    readonly log: LogSink;
    readonly usage: AccountUsage;
    readonly promptLocations: PromptLocations;
    readonly getNow: () => number;
    readonly getState: () => MemberRecord["state"];
    readonly listLoads: () => PeerReport["loads"];
    /** Loads that this instance and the named peers have put on targets. */
    readonly listDataCentreLoads: (peers: readonly string[]) => PeerReport["loads"];
    readonly onLoads: (sender: string, loads: PeerReport["loads"], validUntil: number) => void;
}

/** Interval of the reports between peers in the same data centre, which share their targets. */
const REPORT_INTERVAL_MS = 150;
/** Other members included in each report (gossip), so that a starting instance learns of all members. */
const RELAYED_MEMBERS = 3;
/** A load report is valid for four intervals, so that a lost datagram does not hide the load. */
const LOAD_VALIDITY_MS = 600;
/** Validity of the load summary of a remote data centre. */
const REMOTE_LOAD_VALIDITY_MS = 1200;
const USAGE_VALIDITY_MS = 3000;
/** A starting instance uses no cold targets for this long: it does not know yet how many instances share their limit. */
const MEMBER_DISCOVERY_MS = 2000;
const SEED_INTERVAL_MS = 1000;

/** Tracks the other instances of the fleet and exchanges reports of load and usage with them. */
export class FleetView {
    readonly #options: FleetViewOptions;
    readonly #membership: Membership;
    readonly #incarnation = Date.now();
    readonly #startedAt: number;
    readonly #summarySchedule = SummarySchedule.create();
    #exchange: PeerExchange | undefined;
    #sequence = 0;
    #nextSeedAt = 0;
    #timer: NodeJS.Timeout | undefined;

    private constructor(options: FleetViewOptions) {
        this.#options = options;
        this.#membership = createMembership(options.settings.locality.dataCentre);
        this.#startedAt = options.getNow();
    }

    /** Binds the socket and starts to send reports. */
    static async create(options: FleetViewOptions): Promise<FleetView> {
        const view = new FleetView(options);
        const { host, port } = options.settings.peerAddress;
        view.#exchange = await PeerExchange.create({
            host,
            port,
            log: options.log,
            onMessage: (message, sender) => view.#receive(message, sender),
        });
        view.#timer = setInterval(() => view.#sendReports(), REPORT_INTERVAL_MS);
        return view;
    }

    /** Number of live peers. */
    countPeers(): number {
        return this.#listPeers().length;
    }

    /** Lists the addresses that a caller in a locality should use. */
    listCallerAddresses(caller: Locality): readonly string[] {
        return listCallerAddresses([this.#describeSelf(), ...this.#listPeers()], caller);
    }

    /** Finds the peers in this data centre from which the platform's changes are read. */
    findReaders(): ChangeReaders {
        const { locality, instance } = this.#options.settings;
        const peers = this.#listPeers().filter(peer =>
            peer.dataCentre === locality.dataCentre && peer.state !== "closed"
        );
        return findChangeReaders(instance, peers);
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
        const users = listColdTargetUsers(members, target.dataCentre, settings.regionsByDataCentre);
        return computeColdShare(
            target.id,
            limitPerSecond,
            settings.instance,
            users.map(member => member.name),
        );
    }

    /** Sends a report to all peers immediately, after a change of state. */
    notifyPeers(): void {
        this.#sendReport(this.#listPeers());
    }

    /** Stops the reports and closes the socket. */
    close(): void {
        clearInterval(this.#timer);
        this.#exchange?.close();
    }

    #listPeers(): readonly MemberRecord[] {
        return this.#membership.listLive(this.#options.getNow());
    }

    #describeSelf(): MemberRecord {
        const { settings, getState } = this.#options;
        const [incarnation, sequence] = [this.#incarnation, this.#sequence];
        return buildMemberRecord(settings, { incarnation, sequence, state: getState() });
    }

    #sendReports(): void {
        const peers = this.#listPeers();
        const { dataCentre } = this.#options.settings.locality;
        const prompts = this.#options.promptLocations.takePending(this.#options.getNow());
        this.#sendReport(peers.filter(peer => peer.dataCentre === dataCentre), prompts);
        this.#sendSummary(peers);
        this.#reportToSeeds(peers);
    }

    /** Sends a summary of the local data centre to one delegate of each remote one, if this is the first delegate. */
    #sendSummary(peers: readonly MemberRecord[]): void {
        const { settings, usage, promptLocations, listDataCentreLoads, getNow } = this.#options;
        const now = getNow();
        const turn = this.#summarySchedule.takeTurn(now);
        if (turn === "none") {
            return;
        }
        const { dataCentre } = settings.locality;
        const localPeers = peers.filter(peer => peer.dataCentre === dataCentre);
        const localMembers = [this.#describeSelf(), ...localPeers];
        if (pickReaders(localMembers.map(member => member.name))[0] !== settings.instance) {
            return;
        }
        const receivers = listDelegates(peers, dataCentre).flatMap(delegates => pickRandom(delegates, 1))
            .filter(({ region }) => turn === "all" || region === settings.locality.region);
        this.#sequence += 1;
        const report: PeerReport = {
            scope: "data-centre",
            sender: this.#describeSelf(),
            loads: listDataCentreLoads(localPeers.map(peer => peer.name)),
            usage: usage.listDataCentre(now),
            prompts: turn === "all" ? promptLocations.takeSummary() : [],
            others: localMembers,
        };
        this.#exchange?.send(report, receivers.map(member => member.ip));
    }

    /** Periodically sends a report to seeds that are not known as live, in case they have come back. */
    #reportToSeeds(peers: readonly MemberRecord[]): void {
        const { settings, getNow } = this.#options;
        const now = getNow();
        if (now < this.#nextSeedAt) {
            return;
        }
        this.#nextSeedAt = now + SEED_INTERVAL_MS;
        const known = [settings.peerAddress.host, ...peers.map(peer => peer.ip)];
        this.#exchange?.send(this.#buildReport(), settings.seedHosts.filter(host => !known.includes(host)));
    }

    #sendReport(peers: readonly MemberRecord[], prompts: PeerReport["prompts"] = []): void {
        if (peers.length > 0) {
            this.#exchange?.send(this.#buildReport(prompts), peers.map(peer => peer.ip));
        }
    }

    #buildReport(prompts: PeerReport["prompts"] = []): PeerReport {
        const { usage, listLoads, getNow } = this.#options;
        this.#sequence += 1;
        return {
            scope: "instance",
            sender: this.#describeSelf(),
            loads: listLoads(),
            usage: usage.listLocal(getNow()),
            prompts,
            others: pickRandom(this.#listPeers(), RELAYED_MEMBERS),
        };
    }

    #receive(message: unknown, senderHost: string): void {
        const report = parsePeerReport(message);
        const { log, settings, usage, promptLocations, onLoads, getNow } = this.#options;
        if (!report) {
            log.write("peer-report-invalid", {});
            return;
        }
        const now = getNow();
        const isNewer = this.#adopt(report.sender, now);
        report.others.forEach(record => this.#adopt(record, now));
        const { sender } = report;
        if (!isNewer || sender.name === settings.instance) {
            return;
        }
        const isLocal = sender.dataCentre === settings.locality.dataCentre;
        promptLocations.adopt(report.prompts, isLocal, now);
        const validUntil = now + USAGE_VALIDITY_MS;
        const tokens = new Map(
            report.usage.map(([account, asked, granted]) => [account, { asked, granted }]),
        );
        if (isLocal) {
            usage.setPeerUsage(sender.name, { tokens, validUntil });
        }
        else if (report.scope === "data-centre") {
            usage.setRemoteUsage(sender.dataCentre, { tokens, validUntil });
            this.#forwardSummary(report, senderHost);
        }
        if (isLocal) {
            onLoads(sender.name, report.loads, now + LOAD_VALIDITY_MS);
        }
        else if (report.scope === "data-centre") {
            onLoads(`data centre ${sender.dataCentre}`, report.loads, now + REMOTE_LOAD_VALIDITY_MS);
        }
    }

    /** Forwards a summary to the local data centre if it came directly from its remote sender and not through a peer. */
    #forwardSummary(report: PeerReport, senderHost: string): void {
        if (senderHost === report.sender.ip) {
            const { dataCentre } = this.#options.settings.locality;
            const localPeers = this.#listPeers().filter(peer => peer.dataCentre === dataCentre);
            this.#exchange?.send(report, localPeers.map(peer => peer.ip));
        }
    }

    #adopt(record: MemberRecord, now: number): boolean {
        if (record.name === this.#options.settings.instance) {
            return false;
        }
        const result = this.#membership.adopt(record, now);
        if (result === "new" || result === "changed") {
            this.#options.log.write("peer-changed", { peer: record.name, state: record.state, result });
        }
        if (result === "new") {
            // Introduces this instance and some members it knows to the new one, without waiting for the next report.
            this.#sendReport([record]);
        }
        return result !== "stale";
    }
}
