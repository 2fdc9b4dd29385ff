import type { MemberRecord } from "../core/routing/memberRecord.js";
import type { PeerReport } from "./peerReport.js";

/** Validates a datagram of a peer. Returns `undefined` if it is not a report. */
export function parsePeerReport(message: unknown): PeerReport | undefined {
    if (typeof message !== "object" || message === null) {
        return undefined;
    }
    const report = message as Partial<PeerReport>;
    const isValid = ["instance", "data-centre"].includes(report.scope ?? "") && isMember(report.sender)
        && Array.isArray(report.loads)
        && report.loads.every(load => isTuple(load, ["string", "number", "number"]))
        && Array.isArray(report.usage)
        && report.usage.every(usage => isTuple(usage, ["string", "number", "number"]))
        && Array.isArray(report.prompts)
        && report.prompts.every(prompt => isTuple(prompt, ["string", "string"]))
        && Array.isArray(report.others) && report.others.every(isMember);
    return isValid ? report as PeerReport : undefined;
}

function isTuple(value: unknown, types: readonly string[]): boolean {
    return Array.isArray(value) && types.every((type, i) => typeof value[i] === type);
}

function isMember(value: unknown): value is MemberRecord {
    const record = value as Partial<MemberRecord> | null;
    return typeof record === "object" && record !== null
        && [record.name, record.dataCentre, record.region, record.ip, record.callerAddress]
            .every(field => typeof field === "string")
        && [record.incarnation, record.sequence, record.weight].every(field => Number.isFinite(field))
        && ["open", "busy", "limited", "closed"].includes(record.state ?? "");
}
