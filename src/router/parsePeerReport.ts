import type { LimitReport } from "../core/limits/limitReport.js";
import { messageChecks } from "./messageChecks.js";
import type { PeerReport } from "./peerReport.js";

const { isListOf, isTuple, isText, isAmount, isCount, isOutcome, isStatus, isMember } = messageChecks;

/**
 * Validates a datagram of a peer. Returns `undefined` if it is not a report.
 *
 * @param timeOfDay Unix milliseconds.
 */
export function parsePeerReport(message: unknown, timeOfDay: number): PeerReport | undefined {
    if (typeof message !== "object" || message === null) {
        return undefined;
    }
    const report = message as Partial<PeerReport>;
    const latestIncarnation = messageChecks.getLatestIncarnation(timeOfDay);
    const isValidMember = (member: unknown): boolean => isMember(member, latestIncarnation);
    const isValid = ["instance", "data-centre", "local-summary"].includes(report.scope ?? "")
        && isValidMember(report.sender)
        && isListOf(report.loads, load => isTuple(load, [isText, isAmount, isAmount]))
        && isListOf(report.usage, usage => isTuple(usage, [isText, isAmount, isAmount]))
        && (report.unmet === undefined || isAmount(report.unmet))
        && isListOf(report.prompts, prompt => isTuple(prompt, [isText, isText]))
        && (report.crashOutcomes === undefined || isListOf(report.crashOutcomes, isOutcome))
        && isListOf(report.others, isValidMember)
        && (report.included === undefined
            || isListOf(report.included, status => isStatus(status, latestIncarnation)))
        && (report.configurationVersion === undefined || isVersion(report.configurationVersion))
        && (report.startedMsAgo === undefined || isAmount(report.startedMsAgo))
        && (report.speeds === undefined
            || isListOf(report.speeds, speed => isTuple(speed, [isText, isAmount, isAmount])))
        && (report.limits === undefined || isLimitReport(report.limits));
    return isValid ? report as PeerReport : undefined;
}

function isVersion(value: unknown): boolean {
    return Number.isSafeInteger(value) && Number(value) >= 0;
}

function isLimitReport(value: unknown): boolean {
    const { news, demands, coordinator, memberCount } = (value ?? {}) as Partial<LimitReport>;
    return isListOf(
        news,
        entry => isTuple(entry, [isText, limit => limit === null || isAmount(limit), isAmount]),
    )
        && isListOf(demands, demand => isTuple(demand, [isText, isAmount, isAmount]))
        && (coordinator === undefined || isText(coordinator)) && isCount(memberCount);
}
