import { runFaultTrial } from "../faultTrial/runFaultTrial.js";
import { formatFigure } from "../formatFigure.js";
import type { Scenario } from "../scenario.js";

const DEFAULT_SECONDS = 20;
/** A trial also uses the seed after its own, so the seeds of two trials must not be adjacent. */
const SEED_STEP = 1_000;

/** Injects random faults, two at a time, into the whole fleet and checks every response to callers. */
export const measureFaults: Scenario = async options => {
    const sums: Record<string, number> = {};
    for (let trial = 0; trial < options.trials; trial += 1) {
        const result = await runFaultTrial(
            options,
            options.seed + trial * SEED_STEP,
            options.durationSeconds ?? DEFAULT_SECONDS,
        );
        options.logProgress(`trial ${trial + 1}: ${JSON.stringify(result)}`);
        for (const [name, value] of Object.entries(result)) {
            sums[name] = (sums[name] ?? 0) + (value as number);
        }
    }
    const { arrivals = 0, requests = 0 } = sums;
    return {
        policy: options.policy,
        seed: options.seed,
        trials: options.trials,
        ...sums,
        retryAmplification: requests > 0 ? formatFigure(arrivals / requests) : undefined,
    };
};
