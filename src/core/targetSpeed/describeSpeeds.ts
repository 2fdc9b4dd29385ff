import type { TargetSpeed } from "./targetSpeed.js";

interface SpeedSummary {
    /** Targets whose speed is known. */
    readonly known: number;
    /** Lowest and highest ratio of measured to expected time among them; 1 if there is none. */
    readonly lowest: number;
    readonly highest: number;
    readonly fastestTarget: string | undefined;
    readonly slowestTarget: string | undefined;
}

/** Describes the speeds of targets at a monotonic time in milliseconds. */
export function describeSpeeds(
    speeds: readonly (readonly [targetId: string, speed: TargetSpeed])[],
    now: number,
): SpeedSummary {
    const known = speeds.filter(([, speed]) => speed.isKnown(now))
        .map(([id, speed]) => [id, speed.getTimeRatio(now)] as const)
        .sort(([, a], [, b]) => a - b);
    const [fastest, slowest] = [known[0], known.at(-1)];
    return {
        known: known.length,
        lowest: fastest?.[1] ?? 1,
        highest: slowest?.[1] ?? 1,
        fastestTarget: fastest?.[0],
        slowestTarget: slowest?.[0],
    };
}
