/** Every counter of the daemon: what one increment means and which labels it has. */
export const counterDefinitions = {
    requests_total: { help: "Requests received from callers.", labels: ["service"] },
    refusals_total: {
        help: "Requests that failed, by stable reason and outcome.",
        labels: ["reason", "outcome"],
    },
    connections_refused_total: {
        help: "Connections refused because more came than the daemon could serve.",
        labels: [],
    },
    connections_relayed_total: {
        help: "Connections relayed to other daemons because more came than the daemon could serve.",
        labels: [],
    },
    internal_errors_total: {
        help: "Errors that no handler has caught, by source.",
        labels: ["source"],
    },
    log_lines_dropped_total: {
        help: "Log lines dropped because nobody read the log.",
        labels: [],
    },
    retries_total: { help: "Further tries of a request, by reason.", labels: ["reason"] },
    dispatch_decisions_total: {
        help: "Decisions of the scheduler: queued, granted or refused, by reason.",
        labels: ["kind", "reason"],
    },
    demand_reports_total: { help: "Reports to owners of pools, by reason.", labels: ["reason"] },
    lease_events_total: { help: "Changes of slot leases, by reason.", labels: ["reason"] },
    takeovers_total: { help: "Pools that this daemon became the owner of.", labels: ["reason"] },
    claims_total: { help: "Answers given as claim holder, by verdict.", labels: ["verdict"] },
    configuration_events_total: { help: "Bundles adopted or rejected, by reason.", labels: ["reason"] },
    platform_calls_total: { help: "Calls to the platform, a watch counted once.", labels: ["value"] },
    platform_failures_total: { help: "Calls to the platform without a usable answer.", labels: ["value"] },
    suspicions_total: {
        help: "Instances that became suspected of having failed, or were cleared.",
        labels: ["reason"],
    },
    peer_bytes_total: { help: "Bytes of control traffic.", labels: ["method", "direction"] },
    peer_calls_total: { help: "Calls to other daemons, by result.", labels: ["method", "result"] },
    cross_region_bytes_total: { help: "Bytes exchanged with targets of other regions.", labels: ["service"] },
    route_explanations_total: { help: "Answers of the page that explains routes.", labels: ["result"] },
    tokens_total: { help: "Tokens served, by client account.", labels: ["account"] },
} as const satisfies Readonly<Record<string, { readonly help: string; readonly labels: readonly string[]; }>>;
