import { countRoles } from "../capacity/countRoles.js";
import { estimateExchange } from "../capacity/estimateExchange.js";
import { formatFigure } from "../formatFigure.js";
import type { Scenario } from "../scenario.js";

/** Daemons at which one backlogged account has requests waiting; the users state no number. */
const SPREADS: readonly number[] = [5, 50, 500];

/** Counts the roles of a fleet of `--instances` daemons and the bytes of its counter exchanges; starts no process. */
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
