import type { AdmissionPressure } from "../core/admission/admissionPressure.js";
import type { RequestLimiter } from "../core/limits/requestLimiter.js";
import type { AccountUsage } from "../core/routing/accountUsage.js";
import type { CrashRecord } from "../core/routing/crashRecord.js";
import type { MemberRecord } from "../core/routing/memberRecord.js";
import type { PromptLocations } from "../core/routing/promptLocations.js";
import type { SpeedReports } from "../core/targetSpeed/speedReports.js";
import type { ErrorBoundary } from "./errorBoundary.js";
import type { LogSink } from "./logSink.js";
import type { PeerExchange } from "./peerExchange.js";
import type { PeerReport } from "./peerReport.js";
import type { RouterSettings } from "./routerSettings.js";
import type { StartNotices } from "./startNotices.js";
import type { StreamOrigins } from "./streamOrigins.js";
import type { SpeedLog } from "./targetSpeed/speedLog.js";

/** What the view of the fleet needs of the instance. */
export interface FleetViewOptions {
    readonly settings: RouterSettings;
    readonly log: LogSink;
    readonly errorBoundary: ErrorBoundary;
    /** Closed with the view. */
    readonly exchange: PeerExchange;
    readonly pressure: AdmissionPressure;
    readonly usage: AccountUsage;
    readonly promptLocations: PromptLocations;
    readonly crashRecord: CrashRecord;
    readonly limits: RequestLimiter;
    readonly speedReports: SpeedReports;
    readonly speedLog: SpeedLog;
    readonly streamOrigins: StreamOrigins;
    readonly getNow: () => number;
    readonly getState: () => MemberRecord["state"];
    readonly startNotices: StartNotices;
    readonly listLoads: () => PeerReport["loads"];
    /** Loads that this instance and the named peers have put on targets. */
    readonly listDataCentreLoads: (peers: readonly string[]) => PeerReport["loads"];
    readonly onLoads: (sender: string, loads: PeerReport["loads"], validUntil: number) => void;
    /** Called with the monotonic time in milliseconds until which the summary of another data centre is valid. */
    readonly onSummary?: (dataCentre: string, validUntil: number) => void;
    /** Called when this instance has got permits for targets with a request limit. */
    readonly onPermits: () => void;
}
