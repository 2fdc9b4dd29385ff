import type { FairnessView } from "../../core/fairness/fairnessView.js";
import type { CounterReply } from "../../transport/generated/baobabspread/peer/CounterReply.js";
import type { CounterReport__Output } from "../../transport/generated/baobabspread/peer/CounterReport.js";
import type { DaemonContext } from "../daemonContext.js";

/** Keeps the service counters of this daemon and of its part of the aggregation tree. */
export class Accounting {
    private constructor(_context: DaemonContext) {}

    /** Creates empty counters and starts the exchange with the parent. */
    static create(context: DaemonContext): Accounting {
        return new Accounting(context);
    }

    /** Adds served tokens to an account. */
    charge(_account: string, _tokens: number): void {}

    /** Sets the number of requests of an account that wait at this daemon, over all services. */
    setWaiting(_account: string, _waiting: number): void {}

    /** Latest view of the counters. */
    getView(): FairnessView {
        return {
            getNormalizedService: () => 0,
            lowestBacklogged: undefined,
            highestBacklogged: undefined,
            remoteLagThreshold: Number.POSITIVE_INFINITY,
        };
    }

    /** Takes the report of a child in the aggregation tree. */
    handleReport(report: CounterReport__Output): Promise<CounterReply> {
        return Promise.resolve({ acknowledgedSequence: report.sequence, accepted: false });
    }

    /** Sends what is pending to the parent before a planned stop. */
    close(): Promise<void> {
        return Promise.resolve();
    }
}
