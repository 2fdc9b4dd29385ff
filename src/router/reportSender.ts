import type { AdmissionPressure } from "../core/admission/admissionPressure.js";
import type { RequestLimiter } from "../core/limits/requestLimiter.js";
import type { AccountUsage } from "../core/routing/accountUsage.js";
import type { CrashRecord } from "../core/routing/crashRecord.js";
import { listDelegates } from "../core/routing/listDelegates.js";
import type { MemberRecord } from "../core/routing/memberRecord.js";
import type { MemberStatus } from "../core/routing/memberStatus.js";
import { pickReaders } from "../core/routing/pickReaders.js";
import type { PromptLocations } from "../core/routing/promptLocations.js";
import type { ReportRole } from "../core/routing/reportRole.js";
import type { SentReports } from "../core/routing/sentReports.js";
import { SummarySchedule } from "../core/routing/summarySchedule.js";
import type { SpeedReports } from "../core/targetSpeed/speedReports.js";
import { pickRandom } from "../shared/pickRandom.js";
import type { PeerReport } from "./peerReport.js";
import type { RouterSettings } from "./routerSettings.js";
import type { StartNotices } from "./startNotices.js";

interface ReportSenderOptions {
    readonly settings: RouterSettings;
    readonly pressure: AdmissionPressure;
    readonly usage: AccountUsage;
    readonly promptLocations: PromptLocations;
    readonly crashRecord: CrashRecord;
    readonly sentReports: SentReports;
    readonly limits: RequestLimiter;
    readonly speedReports: SpeedReports;
    readonly listLoads: () => PeerReport["loads"];
    /** Loads that this instance and the named peers have put on targets. */
    readonly listDataCentreLoads: (peers: readonly string[]) => PeerReport["loads"];
    /** Live peers of all data centres. */
    readonly listPeers: () => readonly MemberRecord[];
    /** Builds the next record of this instance; each report needs a new one. */
    readonly buildRecord: () => MemberRecord;
    readonly startNotices: StartNotices;
    readonly send: (report: PeerReport, hosts: readonly string[]) => void;
}

type ReportNews = Pick<PeerReport, "prompts" | "crashOutcomes" | "speeds">;

const NO_NEWS: ReportNews = { prompts: [] };
/** Other members included in each report (gossip), so that a starting instance learns of all members. */
const RELAYED_MEMBERS = 3;
const SEED_INTERVAL_MS = 1000;
/** A seed that restarts is mostly back within this time, and has to hear soon of the instances that run. */
const SEED_RESTART_MS = 5000;

/** Builds and sends the reports of an instance, and the summaries of a delegate. Times are monotonic milliseconds. */
export class ReportSender {
    readonly #options: ReportSenderOptions;
    readonly #summarySchedule = SummarySchedule.create();
    #nextSeedAt = 0;
    /** When each seed was first found missing, by host. */
    #missingSeeds: ReadonlyMap<string, number> = new Map();

    private constructor(options: ReportSenderOptions) {
        this.#options = options;
    }

    /** Creates a sender that has sent nothing. */
    static create(options: ReportSenderOptions): ReportSender {
        return new ReportSender(options);
    }

    /** Sends the load and usage of this instance and what is new since the last report. */
    sendReport(receivers: readonly MemberRecord[], now: number, news: ReportNews = NO_NEWS): void {
        if (receivers.length > 0) {
            this.#options.send(this.#buildReport(now, news), receivers.map(peer => peer.ip));
        }
    }

    /** Sends the load and usage of the data centre to all its instances. */
    sendLocalSummary(
        localPeers: readonly MemberRecord[],
        included: readonly MemberStatus[],
        now: number,
    ): void {
        const { usage, promptLocations, crashRecord, limits, speedReports } = this.#options;
        const { listDataCentreLoads, buildRecord, send } = this.#options;
        send({
            scope: "local-summary",
            sender: buildRecord(),
            loads: listDataCentreLoads(localPeers.map(peer => peer.name)),
            usage: usage.listDataCentre(now),
            unmet: this.#sumUnmet(localPeers, now),
            prompts: promptLocations.takeLocalSummary(),
            crashOutcomes: crashRecord.takeReport("data-centre", now),
            others: pickRandom(localPeers, RELAYED_MEMBERS),
            included,
            limits: limits.buildSummary("local-summary", now),
            speeds: speedReports.take("local-summary", localPeers.length, now),
        }, localPeers.map(peer => peer.ip));
    }

    /** Sends a summary of the data centre to one delegate of each remote one, if this is the first delegate. */
    sendRemoteSummary(role: ReportRole, now: number): void {
        const { settings, usage, promptLocations, crashRecord, limits, speedReports } = this.#options;
        const { listDataCentreLoads, listPeers, buildRecord, send } = this.#options;
        const turn = this.#summarySchedule.takeTurn(now);
        if (turn === "none" || (role.kind !== "mesh" && !(role.kind === "delegate" && role.rank === 0))) {
            return;
        }
        const { dataCentre, region } = settings.locality;
        const peers = listPeers();
        const localPeers = peers.filter(peer => peer.dataCentre === dataCentre);
        const record = buildRecord();
        const isFirst =
            pickReaders([record, ...localPeers].map(member => member.name))[0] === settings.instance;
        if (role.kind === "mesh" && !isFirst) {
            return;
        }
        const receivers = listDelegates(peers, dataCentre).flatMap(delegates => pickRandom(delegates, 1))
            .filter(receiver => turn === "all" || receiver.region === region);
        send({
            scope: "data-centre",
            sender: record,
            loads: listDataCentreLoads(localPeers.map(peer => peer.name)),
            usage: usage.listDataCentre(now),
            unmet: this.#sumUnmet(localPeers, now),
            prompts: turn === "all" ? promptLocations.takeSummary() : [],
            crashOutcomes: turn === "all" ? crashRecord.takeReport("remote", now) : undefined,
            others: [record, ...localPeers],
            limits: limits.buildSummary("data-centre", now),
            speeds: speedReports.take("data-centre", receivers.length, now),
        }, receivers.map(member => member.ip));
    }

    /** Sends a report to seeds that are not known as live, in case they have come back: each time at first, then seldom. */
    reportToSeeds(now: number): void {
        const { settings, listPeers, send } = this.#options;
        const known = [settings.peerAddress.host, ...listPeers().map(peer => peer.ip)];
        const missing = settings.seedHosts.filter(host => !known.includes(host));
        this.#missingSeeds = new Map(missing.map(host => [host, this.#missingSeeds.get(host) ?? now]));
        const isDue = now >= this.#nextSeedAt;
        if (isDue) {
            this.#nextSeedAt = now + SEED_INTERVAL_MS;
        }
        const hosts = [...this.#missingSeeds]
            .flatMap(([host, since]) => isDue || now - since < SEED_RESTART_MS ? [host] : []);
        if (hosts.length > 0) {
            send(this.#buildReport(now, NO_NEWS), hosts);
        }
    }

    /** Tells instances that start with this one that one was found that has not; the seeds pass it on to all. */
    reportOlderPeer(now: number): void {
        const { settings, listPeers, send } = this.#options;
        const isSeed = settings.seedHosts.includes(settings.peerAddress.host);
        const hosts = isSeed ? listPeers().map(peer => peer.ip) : settings.seedHosts;
        send(this.#buildReport(now, NO_NEWS), hosts);
    }

    /** Left out while it is 0, as nearly always. */
    #sumUnmet(peers: readonly MemberRecord[], now: number): number | undefined {
        const unmet = Math.round(this.#options.pressure.sumUnmet(now, peers.map(({ name }) => name)));
        return unmet > 0 ? unmet : undefined;
    }

    #buildReport(now: number, news: ReportNews): PeerReport {
        const { usage, sentReports, limits, listLoads, listPeers, buildRecord, startNotices } = this.#options;
        const sender = buildRecord();
        const report: PeerReport = {
            scope: "instance",
            sender,
            loads: listLoads(),
            usage: usage.listLocal(now),
            unmet: this.#sumUnmet([], now),
            ...news,
            others: pickRandom(listPeers(), RELAYED_MEMBERS),
            ...startNotices.build(now),
            limits: limits.buildReport(now),
        };
        sentReports.add({ sequence: sender.sequence, loads: report.loads, usage: report.usage });
        return report;
    }
}
