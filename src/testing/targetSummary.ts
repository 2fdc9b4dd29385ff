import type { LimitBreach } from "../standIns/target/limitBreach.js";

/** Counts of a target stand-in since its start. */
export interface TargetSummary {
    readonly name: string;
    readonly state: "cold" | "warm";
    readonly running: number;
    readonly bearable: number;
    readonly arrivals: number;
    readonly tokens: number;
    /** Highest number of requests held at once. */
    readonly peak: number;
    /** Arrivals over the bearable limit, and those that came before the target had shown that it was cold. */
    readonly breaches: number;
    readonly breachesBeforeNotice: number;
    readonly breachRecords: readonly LimitBreach[];
    readonly timesFallen: number;
    readonly busyMs: number;
}
