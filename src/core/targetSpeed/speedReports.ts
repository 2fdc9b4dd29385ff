import type { ReportScope } from "../limits/reportScope.js";
import { ByteBudget } from "./byteBudget.js";
import type { SharedSpeed } from "./sharedSpeed.js";
import type { SpeedObservation } from "./speedObservation.js";
import type { TargetSpeed } from "./targetSpeed.js";

interface SpeedReportsOptions {
    /** Lists the speeds of the targets of services for which they count, by identifier of the target. */
    readonly listSpeeds: () => readonly (readonly [targetId: string, speed: TargetSpeed])[];
    /** Called with each observation of a peer that may still count. */
    readonly onObservation: (targetId: string, observation: SpeedObservation, now: number) => void;
}

interface SentObservation extends SpeedObservation {
    /** Monotonic time in milliseconds. */
    readonly sentAt: number;
}

/** Entries in one report or summary; the budget of bytes mostly allows fewer. */
const MAX_ENTRIES = 32;
/** Bytes of the field and of an entry in JSON, without the identifier of the target. */
const FIELD_BYTES = 12;
const ENTRY_BYTES = 16;
/**
 * Part of the saved bytes that a report may take. A delegate sends all kinds, and a single entry of its summary goes to many
 * receivers, so that the others leave most of what is saved to it.
 */
const SHARES: Readonly<Record<ReportScope, number>> = {
    "instance": 0.1,
    "data-centre": 0.1,
    "local-summary": 1,
};
const MAX_AGE_MS = 2000;
/** Time for which a speed was not sent that counts at most, so that with many targets a large change still goes first. */
const MAX_UNSENT_MS = 60_000;
/** A speed that has not changed gets its turn, too, as if it had changed by this (a tenth, as a logarithm). */
const UNCHANGED = 0.1;
const PERCENT = 100;
/** One-way delays by the data sheets of the deployments, by which an observation is older than its report says. */
const LOCAL_DELAY_MS = 1.4;
const REMOTE_DELAY_MS = 20;

/** Builds and adopts the part of reports that shares the speeds of targets. Times are monotonic milliseconds. */
export class SpeedReports {
    readonly #options: SpeedReportsOptions;
    readonly #budget = ByteBudget.create();
    /** What was sent last of each target; targets that are gone are forgotten. */
    readonly #sent: Readonly<Record<ReportScope, WeakMap<TargetSpeed, SentObservation>>> = {
        "instance": new WeakMap(),
        "data-centre": new WeakMap(),
        "local-summary": new WeakMap(),
    };

    private constructor(options: SpeedReportsOptions) {
        this.#options = options;
    }

    /** Creates the reports of an instance that has sent none. */
    static create(options: SpeedReportsOptions): SpeedReports {
        return new SpeedReports(options);
    }

    /**
     * Takes observations for a report to a number of receivers; `undefined` if there is none, or no room. Those of peers are
     * part of summaries only.
     */
    take(scope: ReportScope, receivers: number, now: number): readonly SharedSpeed[] | undefined {
        const sent = this.#sent[scope];
        const observed = this.#options.listSpeeds().flatMap(([id, speed]) => {
            const observation = scope === "instance"
                ? speed.getOwnObservation(now)
                : speed.getNewestObservation(now);
            return observation
                ? [{ id, speed, observation, rank: computeRank(observation, sent.get(speed), now) }]
                : [];
        });
        const bytes = this.#budget.getAllowance(receivers, SHARES[scope], now);
        let length = FIELD_BYTES;
        const entries: SharedSpeed[] = [];
        for (const { id, speed, observation } of observed.sort((a, b) => b.rank - a.rank)) {
            const entryLength = id.length + ENTRY_BYTES;
            if (length + entryLength > bytes || entries.length >= MAX_ENTRIES) {
                break;
            }
            length += entryLength;
            const { logRatio, observedAt } = observation;
            entries.push([id, Math.round(PERCENT * Math.exp(logRatio)), Math.round(now - observedAt)]);
            sent.set(speed, { ...observation, sentAt: now });
        }
        if (entries.length === 0) {
            return undefined;
        }
        this.#budget.take(length * receivers, now);
        return entries;
    }

    /** Adopts the observations in a report of a peer. */
    adopt(speeds: readonly SharedSpeed[], isLocal: boolean, now: number): void {
        const delayMs = isLocal ? LOCAL_DELAY_MS : REMOTE_DELAY_MS;
        for (const [targetId, percent, ageMs] of speeds) {
            if (percent > 0 && ageMs + delayMs < MAX_AGE_MS) {
                const observation = {
                    logRatio: Math.log(percent / PERCENT),
                    observedAt: now - ageMs - delayMs,
                };
                this.#options.onObservation(targetId, observation, now);
            }
        }
    }
}

/** A speed ranks by how far it differs from what was sent, and by how long ago that was, so that each gets its turn. */
function computeRank(
    { logRatio, observedAt }: SpeedObservation,
    sent: SentObservation | undefined,
    now: number,
): number {
    const sentMsAgo = sent ? Math.min(MAX_UNSENT_MS, now - sent.sentAt) : MAX_UNSENT_MS;
    if (sent?.observedAt === observedAt) {
        // Repeated only where there is room, in case the report was lost.
        return -1 / (1 + sentMsAgo);
    }
    // Receivers that know nothing assume that the target takes the expected time.
    const known = sentMsAgo < MAX_AGE_MS ? sent?.logRatio ?? 0 : 0;
    return (Math.abs(logRatio - known) + UNCHANGED) * sentMsAgo;
}
