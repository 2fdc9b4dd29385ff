import type { RouteExplanation } from "../core/explain/route/routeExplanation.js";
import type { ServiceExplanation } from "../core/explain/route/serviceExplanation.js";
import { renderTable } from "./renderTable.js";

const MS_PER_SECOND = 1000;

/** Renders the explanation of one instance as text. */
export function renderRoute(explanation: RouteExplanation): readonly string[] {
    const { instance, dataCentre, notReady, route, account, refusal, services } = explanation;
    return [
        `${instance} in ${dataCentre}: ${
            notReady.length > 0 ? `not ready (${notReady.join(", ")})` : "ready"
        }`,
        `  route: ${route ? describeMembers(route) : "-"}`,
        `  account: ${account === "" ? "none needed" : account ?? "-"}`,
        ...(refusal ? [`  outcome: status ${refusal.status}, ${describeRefusal(refusal)}`] : []),
        ...services.flatMap(service => renderService(service)).map(line => `  ${line}`),
    ];
}

function renderService(service: ServiceExplanation): readonly string[] {
    const { candidates, leftOut } = service;
    const names = [...new Set(candidates.flatMap(({ terms }) => Object.keys(terms)))];
    return [
        `service ${service.service}, part ${formatNumber(service.part)} of the route's requests`,
        `  share: ${describeMembers(service.share)}`,
        `  outcome: ${describeOutcome(service)}`,
        ...(candidates.length === 0 ? [] : renderTable([
            ["CANDIDATE", "DATA CENTRE", "REGION", "POSSIBLE", "SCORE", ...names],
            ...candidates.map(({ target, dataCentre, region, isPossible, score, terms }) => [
                target,
                dataCentre,
                region,
                isPossible ? "yes" : "no",
                formatNumber(score),
                ...names.map(name => formatNumber(terms[name])),
            ]),
        ])).map(line => `  ${line}`),
        ...(leftOut.length === 0 ? [] : renderTable([
            ["LEFT OUT", "DATA CENTRE", "REGION", "REASON"],
            ...leftOut.map(({ target, dataCentre, region, reason }) => [target, dataCentre, region, reason]),
        ])).map(line => `  ${line}`),
        ...(service.omitted > 0 ? [`  and ${service.omitted} further targets`] : []),
    ];
}

function describeOutcome({ outcome, leavesDataCentre, leavesRegion }: ServiceExplanation): string {
    switch (outcome.kind) {
        case "grant": {
            const place = leavesRegion ? "leaves its region" : "leaves its data centre";
            return `grant of ${outcome.target ?? "-"}, ${
                leavesDataCentre ? place : "stays in its data centre"
            }`;
        }
        case "wait":
            return `wait (${outcome.reason ?? "-"})`;
        case "refusal":
            return describeRefusal(outcome);
    }
}

function describeRefusal(
    { reason, retryAfterMs }: {
        readonly reason?: string | undefined;
        readonly retryAfterMs?: number | undefined;
    },
): string {
    const retry = retryAfterMs === undefined
        ? "no Retry-After"
        : `Retry-After ${(retryAfterMs / MS_PER_SECOND).toFixed(2)}`;
    return `refusal (${reason ?? "-"}), ${retry}`;
}

function describeMembers(members: Readonly<Record<string, unknown>>): string {
    return Object.entries(members).map(([name, value]) =>
        `${name}=${typeof value === "number" ? formatNumber(value) : [value].flat().join("+") || "-"}`
    ).join(" ");
}

function formatNumber(value: number | undefined): string {
    return value === undefined ? "-" : String(Number(value.toFixed(2)));
}
