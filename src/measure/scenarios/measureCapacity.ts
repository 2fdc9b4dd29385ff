import { mkdir, writeFile } from "node:fs/promises";
import { cpus } from "node:os";
import { computeLine } from "../capacity/computeLine.js";
import { countRoles } from "../capacity/countRoles.js";
import { measureClaims } from "../capacity/measureClaims.js";
import { measureFleetSeries } from "../capacity/measureFleetSeries.js";
import { measureProcessSeries } from "../capacity/measureProcessSeries.js";
import { measureTargetSeries } from "../capacity/measureTargetSeries.js";
import { renderSlopes } from "../capacity/renderSlopes.js";
import type { SlopeSeries } from "../capacity/slopeSeries.js";
import { formatFigure } from "../formatFigure.js";
import type { Scenario } from "../scenario.js";

/** Relative to the working directory, which is the root of the package. */
const OUTPUT_DIRECTORY = "docs/capacity";
const FLEET_DAEMONS = 1100;

/** Measures the slopes that docs/CAPACITY.md extrapolates from. */
export const measureCapacity: Scenario = async options => {
    const seconds = options.durationSeconds ?? (options.quick ? 2 : 5);
    const claims: [number, number][] = [];
    const processSeries = measureProcessSeries(options.quick ? 0.1 : 0.5);
    for (const count of [2_000, 10_000, 50_000]) {
        claims.push([count, await measureClaims(count)]);
    }
    const series: readonly SlopeSeries[] = [
        ...processSeries,
        { name: "claims.heap", per: "claim", unit: "B", method: "process", points: claims },
        ...await measureFleetSeries(options, seconds),
        ...await measureTargetSeries(options, seconds),
    ];
    const roles = countRoles(FLEET_DAEMONS);
    const command = `npm run measure -- capacity --seed ${options.seed}${
        options.quick ? " --quick" : ""
    } --json`;
    await mkdir(OUTPUT_DIRECTORY, { recursive: true });
    await writeFile(
        `${OUTPUT_DIRECTORY}/${options.quick ? "slopes-quick" : "slopes"}.md`,
        [
            "# Measured slopes",
            "",
            `Output of \`${command}\`, ${new Date().toISOString().slice(0, 10)}, ${cpus().length} processors,`
            + ` Node.js ${process.version}, windows of ${seconds} s. Rates are averages of one daemon.`,
            "",
            renderSlopes(series),
            "",
            `## Placement of roles for ${FLEET_DAEMONS} instances, 33 services, 8 data centres`,
            "",
            ...Object.entries(roles).map(([name, value]) => `* ${name}: ${value}`),
            "",
        ].join("\n"),
    );
    return {
        seed: options.seed,
        windowSeconds: seconds,
        ...roles,
        ...Object.fromEntries(series.flatMap(({ name, per, points }) => {
            const fit = computeLine(points);
            return (["slope", "intercept", "residual"] as const).map(part => [
                `${name} per ${per} ${part}`,
                formatFigure(fit[part], 6),
            ]);
        })),
    };
};
