import type { AccountUsage } from "../core/routing/accountUsage.js";
import type { ChangeReaders } from "../core/routing/changeReaders.js";
import { computeColdShare } from "../core/routing/computeColdShare.js";
import { findChangeReaders } from "../core/routing/findChangeReaders.js";
import { listCallerAddresses } from "../core/routing/listCallerAddresses.js";
import { listColdUsers } from "../core/routing/listColdUsers.js";
import { listDelegates } from "../core/routing/listDelegates.js";
import type { MemberRecord } from "../core/routing/memberRecord.js";
import type { Membership } from "../core/routing/membership.js";
import { pickReaders } from "../core/routing/pickReaders.js";
import type { Place } from "../core/routing/place.js";
import type { PromptHolders } from "../core/routing/promptHolders.js";
import { SummarySchedule } from "../core/routing/summarySchedule.js";
import type { TargetEntry } from "../core/routing/targetEntry.js";
import { pickSome } from "../shared/pickSome.js";
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
    readonly holders: PromptHolders;
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
const LEARNING_MS = 2000;
const SEED_INTERVAL_MS = 1000;

/** Tracks the other instances of the fleet and exchanges reports of load and usage with them. */
export class FleetView {
    readonly #options: FleetViewOptions;
    readonly #membership: Membership;
    readonly #incarnation = Date.now();
    readonly #startedAt: number;
    readonly #summaries = SummarySchedule.create();
    #exchange: PeerExchange | undefined;
    #sequence = 0;
    #nextSeedAt = 0;
    #timer: NodeJS.Timeout | undefined;

    private constructor(options: FleetViewOptions) {
        this.#options = options;
        this.#membership = createMembership(options.settings.place.dataCentre);
        this.#startedAt = options.getNow();
    }

    /** Binds the socket and starts to send reports. */
    static async create(options: FleetViewOptions): Promise<FleetView> {
        const view = new FleetView(options);
        const { host, port } = options.settings.peers;
        view.#exchange = await PeerExchange.create({
            host,
            port,
            log: options.log,
            onMessage: (message, sender) => view.#receive(message, sender),
        });
        view.#timer = setInterval(() => view.#report(), REPORT_INTERVAL_MS);
        return view;
    }

    /** Number of live peers. */
    countPeers(): number {
        return this.#listPeers().length;
    }

    /** Lists the addresses that a caller in a locality should use. */
    listCallerAddresses(caller: Place): readonly string[] {
        return listCallerAddresses([this.#describeSelf(), ...this.#listPeers()], caller);
    }

    /** Finds the peers in this data centre from which the platform's changes are read. */
    findReaders(): ChangeReaders {
        const { place, instance } = this.#options.settings;
        const peers = this.#listPeers().filter(peer =>
            peer.dataCentre === place.dataCentre && peer.state !== "closed"
        );
        return findChangeReaders(instance, peers);
    }

    /** Returns this instance's share of the request limit of a cold target; `undefined` if it may not use it. */
    getColdShare(
        entry: TargetEntry,
        limitPerSecond: number,
    ): { readonly perSecond: number; readonly burst: number; } | undefined {
        const { settings, getNow } = this.#options;
        const now = getNow();
        if (now - this.#startedAt < LEARNING_MS) {
            return undefined;
        }
        const members = [this.#describeSelf(), ...this.#membership.listKnown(now)];
        const users = listColdUsers(members, entry.dataCentre, settings.regions);
        return computeColdShare(
            entry.id,
            limitPerSecond,
            settings.instance,
            users.map(member => member.name),
        );
    }

    /** Sends a report to all peers immediately, after a change of state. */
    notifyPeers(): void {
        this.#send(this.#listPeers());
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

    #report(): void {
        const peers = this.#listPeers();
        const { dataCentre } = this.#options.settings.place;
        const prompts = this.#options.holders.takeNews(this.#options.getNow());
        this.#send(peers.filter(peer => peer.dataCentre === dataCentre), prompts);
        this.#sendSummary(peers);
        this.#notifySeeds(peers);
    }

    /** Sends a summary of the local data centre to one delegate of each remote one, if this is the first delegate. */
    #sendSummary(peers: readonly MemberRecord[]): void {
        const { settings, usage, holders, listDataCentreLoads, getNow } = this.#options;
        const now = getNow();
        const turn = this.#summaries.takeTurn(now);
        if (turn === "none") {
            return;
        }
        const { dataCentre } = settings.place;
        const neighbours = peers.filter(peer => peer.dataCentre === dataCentre);
        const near = [this.#describeSelf(), ...neighbours];
        if (pickReaders(near.map(member => member.name))[0] !== settings.instance) {
            return;
        }
        const receivers = listDelegates(peers, dataCentre).flatMap(delegates => pickSome(delegates, 1))
            .filter(({ region }) => turn === "all" || region === settings.place.region);
        this.#sequence += 1;
        const report: PeerReport = {
            scope: "data-centre",
            sender: this.#describeSelf(),
            loads: listDataCentreLoads(neighbours.map(peer => peer.name)),
            usage: usage.listDataCentre(now),
            prompts: turn === "all" ? holders.takeSummary() : [],
            others: near,
        };
        this.#exchange?.send(report, receivers.map(member => member.ip));
    }

    /** Periodically sends a report to seeds that are not known as live, in case they have come back. */
    #notifySeeds(peers: readonly MemberRecord[]): void {
        const { settings, getNow } = this.#options;
        const now = getNow();
        if (now < this.#nextSeedAt) {
            return;
        }
        this.#nextSeedAt = now + SEED_INTERVAL_MS;
        const known = [settings.peers.host, ...peers.map(peer => peer.ip)];
        this.#exchange?.send(this.#buildReport(), settings.seedHosts.filter(host => !known.includes(host)));
    }

    #send(peers: readonly MemberRecord[], prompts: PeerReport["prompts"] = []): void {
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
            usage: usage.listOwn(getNow()),
            prompts,
            others: pickSome(this.#listPeers(), RELAYED_MEMBERS),
        };
    }

    #receive(message: unknown, host: string): void {
        const report = parsePeerReport(message);
        const { log, settings, usage, holders, onLoads, getNow } = this.#options;
        if (!report) {
            log.write("peer-report-invalid", {});
            return;
        }
        const now = getNow();
        const isNews = this.#adopt(report.sender, now);
        report.others.forEach(record => this.#adopt(record, now));
        const { sender } = report;
        if (!isNews || sender.name === settings.instance) {
            return;
        }
        const isNear = sender.dataCentre === settings.place.dataCentre;
        holders.adopt(report.prompts, isNear, now);
        const validUntil = now + USAGE_VALIDITY_MS;
        const tokens = new Map(
            report.usage.map(([account, asked, granted]) => [account, { asked, granted }]),
        );
        if (isNear) {
            usage.setPeerUsage(sender.name, { tokens, validUntil });
        }
        else if (report.scope === "data-centre") {
            usage.setRemoteUsage(sender.dataCentre, { tokens, validUntil });
            this.#relay(report, host);
        }
        if (isNear) {
            onLoads(sender.name, report.loads, now + LOAD_VALIDITY_MS);
        }
        else if (report.scope === "data-centre") {
            onLoads(`data centre ${sender.dataCentre}`, report.loads, now + REMOTE_LOAD_VALIDITY_MS);
        }
    }

    /** Forwards a summary to the local data centre if it came directly from its remote sender and not through a peer. */
    #relay(report: PeerReport, host: string): void {
        if (host === report.sender.ip) {
            const { dataCentre } = this.#options.settings.place;
            const near = this.#listPeers().filter(peer => peer.dataCentre === dataCentre);
            this.#exchange?.send(report, near.map(peer => peer.ip));
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
            this.#send([record]);
        }
        return result !== "stale";
    }
}
