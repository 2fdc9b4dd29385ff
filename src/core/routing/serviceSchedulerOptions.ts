import type { AdmissionPressure } from "../admission/admissionPressure.js";
import type { LimitGate } from "../limits/limitGate.js";
import type { SpillInputs } from "../spill/spillInputs.js";
import type { AccountUsage } from "./accountUsage.js";
import type { CrashRecord } from "./crashRecord.js";
import type { PromptLocations } from "./promptLocations.js";
import type { RoutedService } from "./routedService.js";
import type { SchedulerSettings } from "./schedulerSettings.js";
import type { TargetCandidate } from "./targetCandidate.js";
import type { TargetDescriptor } from "./targetDescriptor.js";
import type { TargetNotices } from "./targetNotices.js";

/** What the scheduler of a service depends on. */
export interface ServiceSchedulerOptions {
    readonly service: RoutedService;
    readonly settings: SchedulerSettings;
    readonly usage: AccountUsage;
    readonly promptLocations: PromptLocations;
    readonly crashRecord: CrashRecord;
    readonly limits: LimitGate;
    readonly notices: TargetNotices;
    /** Whether accounts over their share yield only while others lack capacity. @default where targets report how long work takes */
    readonly sharesIdleCapacity?: boolean | undefined;
    /** Returns a random number from 0 to 1, as `Math.random`. */
    readonly getRandom: () => number;
    /** Tokens a second that all engines process together; 0 if unknown. */
    readonly getTokensPerSecond: () => number;
    /** Tells whether accounts within their share lack capacity. @default accounts over their share always yield */
    readonly pressure?: AdmissionPressure | undefined;
    /** Whether refused requests of a service are promised capacity. @default none are */
    readonly usesReservations?: ((service: string) => boolean) | undefined;
    /** Rate and burst at which this instance may send to a cold target; `undefined` if it must not. */
    readonly getColdShare: (target: TargetDescriptor, limitPerSecond: number) => TargetCandidate["coldShare"];
    /**
     * Whether a new stream that may be taken up later may begin at a target. With `isExplaining`, nothing is done to make
     * this possible.
     */
    readonly mayBegin: (target: TargetDescriptor, isExplaining: boolean) => boolean;
    /** Whether a stream may go on at a target that is listed with its version. */
    readonly mayGoOn: (target: TargetDescriptor) => boolean;
    /** Absent if requests leave their data centre by the score alone. */
    readonly spill?: SpillInputs | undefined;
}
