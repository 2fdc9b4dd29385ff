import type { FaultEvent } from "./faultEvent.js";

interface FaultPlanOptions {
    readonly daemons: readonly string[];
    readonly targets: readonly string[];
    readonly regions: readonly string[];
    readonly durationMs: number;
    readonly random: () => number;
}

type FaultKind = FaultEvent["kind"];

/** Fault kinds by lane. One fault of each lane is active at a time; no kind undoes a fault of the other lane. */
const LANES: readonly (readonly FaultKind[])[] = [
    [
        "kill",
        "freeze",
        "partition",
        "target-truncates",
        "target-resets",
        "target-crosses",
        "target-cold",
        "rolling-restart",
    ],
    [
        "kill",
        "freeze",
        "slow-link",
        "target-falls",
        "target-duplicates",
        "target-cold",
        "platform-down",
        "platform-stale",
        "platform-goes-back",
        "operator-race",
    ],
];
const MIN_MS = 1_000;
const MAX_MS = 5_000;
const PAUSE_MS = 500;

/** Plans random faults; the same random numbers give the same plan. */
export function planFaults(options: FaultPlanOptions): readonly FaultEvent[] {
    return LANES.flatMap((kinds, lane) => planLane(kinds, lane, options)).sort((a, b) => a.atMs - b.atMs);
}

function planLane(
    kinds: readonly FaultKind[],
    lane: number,
    options: FaultPlanOptions,
): readonly FaultEvent[] {
    const pick = <T>(items: readonly T[]): T => items[Math.floor(options.random() * items.length)] as T;
    const pickOwn = (names: readonly string[]): string =>
        pick(names.filter((_, index) => index % 2 === lane));
    const events: FaultEvent[] = [];
    for (let atMs = PAUSE_MS; atMs + MIN_MS < options.durationMs;) {
        const kind = pick(kinds);
        const durationMs = Math.round(MIN_MS + options.random() * (MAX_MS - MIN_MS));
        const subjects = kind.startsWith("target")
            ? [pickOwn(options.targets)]
            : kind.startsWith("platform") || kind === "operator-race"
            ? []
            : [kind === "partition" ? pick(options.regions) : pickOwn(options.daemons)];
        events.push({ kind, lane, atMs: Math.round(atMs), durationMs, subjects });
        atMs += durationMs + PAUSE_MS + options.random() * PAUSE_MS;
    }
    return events;
}
