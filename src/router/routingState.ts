import type { AdmissionPressure } from "../core/admission/admissionPressure.js";
import type { RequestLimiter } from "../core/limits/requestLimiter.js";
import type { AccountUsage } from "../core/routing/accountUsage.js";
import type { CrashDetector } from "../core/routing/crashDetector.js";
import type { CrashRecord } from "../core/routing/crashRecord.js";
import type { PromptLocations } from "../core/routing/promptLocations.js";
import type { TargetNotices } from "../core/routing/targetNotices.js";
import type { TargetStarts } from "../core/routing/targetStarts.js";
import type { RouterSpill } from "./spill/routerSpill.js";
import type { StreamOrigins } from "./streamOrigins.js";

/** What an instance knows beyond single targets and requests, from its own traffic and from the reports of peers. */
export interface RoutingState {
    readonly pressure: AdmissionPressure;
    readonly usage: AccountUsage;
    readonly promptLocations: PromptLocations;
    readonly crashRecord: CrashRecord;
    readonly crashDetector: CrashDetector;
    readonly limits: RequestLimiter;
    readonly notices: TargetNotices;
    readonly targetStarts: TargetStarts;
    readonly streamOrigins: StreamOrigins;
    /** Absent if requests leave their data centre by the score alone. */
    readonly spill: RouterSpill | undefined;
}
