import { countRoles } from "../capacity/countRoles.js";
import { estimateExchange } from "../capacity/estimateExchange.js";
import { formatFigure } from "../formatFigure.js";
import type { Scenario } from "../scenario.js";

/** Numbers of daemons at which one backlogged account has requests waiting; the users give no figure. */
const SPREADS: readonly number[] = [5, 50, 500];

/** Computes role placement and counter-exchange traffic of `--instances` daemons without starting processes. */
export const measurePlacement: Scenario = options =>
    Promise.resolve({
        ...countRoles(options.instances),
        ...Object.fromEntries(SPREADS.flatMap(spread =>
            Object.entries(estimateExchange(options.instances, spread)).map(([name, value]) => [
                `exchange.spread${spread}.${name}`,
                formatFigure(Number(value)),
            ])
        )),
    });
