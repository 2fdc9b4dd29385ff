import type { AdmissionPressure } from "../core/admission/admissionPressure.js";
import type { RequestLimiter } from "../core/limits/requestLimiter.js";
import type { AccountUsage } from "../core/routing/accountUsage.js";
import type { CrashRecord } from "../core/routing/crashRecord.js";
import type { MemberStatus } from "../core/routing/memberStatus.js";
import type { PromptLocations } from "../core/routing/promptLocations.js";
import type { ReportRole } from "../core/routing/reportRole.js";
import type { SentReports } from "../core/routing/sentReports.js";
import type { SpeedReports } from "../core/targetSpeed/speedReports.js";
import type { PeerReport } from "./peerReport.js";
import type { RouterSettings } from "./routerSettings.js";

interface ReportReceiverOptions {
    readonly settings: RouterSettings;
    readonly pressure: AdmissionPressure;
    readonly usage: AccountUsage;
    readonly promptLocations: PromptLocations;
    readonly crashRecord: CrashRecord;
    readonly sentReports: SentReports;
    readonly limits: RequestLimiter;
    readonly speedReports: SpeedReports;
    readonly onLoads: (sender: string, loads: PeerReport["loads"], validUntil: number) => void;
    /** Called with the monotonic time in milliseconds until which the summary of another data centre is valid. */
    readonly onSummary?: (dataCentre: string, validUntil: number) => void;
}

interface AppliedReport {
    readonly status: MemberStatus;
    /** Monotonic time in milliseconds. */
    readonly receivedAt: number;
}

/** A load report is valid for four intervals, so that a lost datagram does not hide the load. */
const LOAD_VALIDITY_MS = 600;
/** Validity of the load summary of a remote data centre. */
const REMOTE_LOAD_VALIDITY_MS = 1200;
const USAGE_VALIDITY_MS = 3000;
/** Without a summary for this long, an instance exchanges reports with all peers until there is one again. */
const SUMMARY_TIMEOUT_MS = 600;
/** Name under which the summary of the local data centre is recorded; no instance has it. */
const LOCAL_SUMMARY = "local summary";

/** Applies the reports of peers: their load, the usage of client accounts and where prompt parts are cached. */
export class ReportReceiver {
    readonly #options: ReportReceiverOptions;
    /** Newest reports of single local peers, by name. */
    readonly #applied = new Map<string, AppliedReport>();
    #summaryAt = Number.NEGATIVE_INFINITY;
    #hasAppliedSummary = false;

    private constructor(options: ReportReceiverOptions) {
        this.#options = options;
    }

    /** Creates a receiver that has seen no report. */
    static create(options: ReportReceiverOptions): ReportReceiver {
        return new ReportReceiver(options);
    }

    /** Returns whether a summary of the local data centre has arrived lately; times in milliseconds. */
    hasSummary(now: number, timeoutMs = SUMMARY_TIMEOUT_MS): boolean {
        return now - this.#summaryAt < timeoutMs;
    }

    /** Lists the local peers whose reports are part of the known load and usage. */
    listIncluded(now: number): readonly MemberStatus[] {
        return [...this.#applied.values()]
            .filter(({ receivedAt }) => now - receivedAt < USAGE_VALIDITY_MS)
            .map(({ status }) => status);
    }

    /** Applies a report that is newer than the last one of its sender. */
    apply(report: PeerReport, role: ReportRole, now: number): void {
        const { settings, pressure, usage, promptLocations, crashRecord, limits, speedReports, onLoads } =
            this.#options;
        const isLocal = report.sender.dataCentre === settings.locality.dataCentre;
        promptLocations.adopt(report.prompts, isLocal, now);
        crashRecord.adopt(report.crashOutcomes ?? [], isLocal, now);
        speedReports.adopt(report.speeds ?? [], isLocal, now);
        if (report.limits) {
            limits.applyReport(report.limits, report.sender, report.scope, now);
        }
        if (!isLocal) {
            if (report.scope === "data-centre") {
                const { dataCentre } = report.sender;
                usage.setRemoteUsage(dataCentre, buildUsage(report.usage, now));
                pressure.setReported(
                    `data centre ${dataCentre}`,
                    report.unmet ?? 0,
                    now + REMOTE_LOAD_VALIDITY_MS,
                );
                onLoads(`data centre ${dataCentre}`, report.loads, now + REMOTE_LOAD_VALIDITY_MS);
                this.#options.onSummary?.(dataCentre, now + REMOTE_LOAD_VALIDITY_MS);
            }
            return;
        }
        if (report.scope === "local-summary") {
            this.#summaryAt = now;
            if (role.kind === "member") {
                this.#applySummary(report, now);
            }
            return;
        }
        if (role.kind !== "member" || !this.hasSummary(now)) {
            this.#applyInstance(report, now);
        }
    }

    #applySummary(report: PeerReport, now: number): void {
        const { settings, pressure, usage, sentReports, onLoads } = this.#options;
        for (const name of this.#applied.keys()) {
            this.#dropSource(name, now);
        }
        this.#applied.clear();
        this.#hasAppliedSummary = true;
        const included = report.included?.find(([name]) => name === settings.instance);
        const others = sentReports.removeFrom(report, included?.[2]);
        usage.setPeerUsage(LOCAL_SUMMARY, buildUsage(others.usage, now));
        const unmet = (report.unmet ?? 0) - pressure.getLocalUnmet(now);
        pressure.setReported(LOCAL_SUMMARY, unmet, now + LOAD_VALIDITY_MS);
        onLoads(LOCAL_SUMMARY, others.loads, now + LOAD_VALIDITY_MS);
    }

    #applyInstance({ sender, usage, unmet = 0, loads }: PeerReport, now: number): void {
        if (this.#hasAppliedSummary) {
            this.#hasAppliedSummary = false;
            this.#dropSource(LOCAL_SUMMARY, now);
        }
        const { name, incarnation, sequence, state } = sender;
        this.#applied.set(name, { status: [name, incarnation, sequence, state], receivedAt: now });
        this.#options.usage.setPeerUsage(name, buildUsage(usage, now));
        this.#options.pressure.setReported(name, unmet, now + LOAD_VALIDITY_MS);
        this.#options.onLoads(name, loads, now + LOAD_VALIDITY_MS);
    }

    /** Removes what a source has reported, because another one reports the same. */
    #dropSource(name: string, now: number): void {
        this.#options.usage.setPeerUsage(name, { tokens: new Map(), validUntil: now });
        this.#options.pressure.setReported(name, 0, now);
        this.#options.onLoads(name, [], now);
    }
}

function buildUsage(usage: PeerReport["usage"], now: number): Parameters<AccountUsage["setPeerUsage"]>[1] {
    return {
        tokens: new Map(usage.map(([account, asked, granted]) => [account, { asked, granted }])),
        validUntil: now + USAGE_VALIDITY_MS,
    };
}
