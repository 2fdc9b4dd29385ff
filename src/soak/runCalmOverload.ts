import { computePercentile } from "../measure/computePercentile.js";
import type { CooperativeFleet } from "../testing/platform/cooperativeFleet.js";
import { runOverload } from "../testing/runOverload.js";
import { describeOutcomes } from "./describeOutcomes.js";
import { pickItem } from "./pickItem.js";
import type { SoakViolation } from "./soakViolation.js";

const MULTIPLES = [2, 4] as const;
/** Few callers, so that what they get is less than what the instance can answer. */
const OVERLOAD = { callers: 8, measureMs: 1500, overloadMs: 2000 };
const MAX_REFUSAL_MS = 200;
const GOODPUT_SHARE = 0.9;

/** Offers a calm instance more than it can serve, and checks what its callers get then and a second later. */
export async function runCalmOverload(
    fleet: CooperativeFleet,
    random: () => number,
): Promise<readonly SoakViolation[]> {
    fleet.publish(true);
    const instance = pickItem(fleet.instances.filter(({ process }) => process.running), random);
    const multiple = pickItem(MULTIPLES, random);
    const { capacity, answered, during, unanswered, refusalTimes, after, unserved } = await runOverload(
        fleet,
        instance,
        { ...OVERLOAD, multiple },
    );
    const medianMs = computePercentile(refusalTimes, 50) ?? 0;
    const checks: readonly (readonly [boolean, "overload" | "goodput" | "refusal-time", string])[] = [
        [
            unanswered.length > 0,
            "overload",
            `${unanswered.length} of ${during.length} got no answer and no refusal (${
                describeOutcomes(unanswered)
            })`,
        ],
        [medianMs > MAX_REFUSAL_MS, "refusal-time", `refusals took ${Math.round(medianMs)} ms (median)`],
        [answered < capacity * GOODPUT_SHARE, "goodput", `answered ${answered} of ${capacity} a second`],
        [
            unserved.length > 0,
            "overload",
            `${unserved.length} of ${after.length} not served a second later (${describeOutcomes(unserved)})`
            + `; ${capacity} a second before, in the overload ${describeOutcomes(during)}`,
        ],
    ];
    return checks.filter(([isBroken]) => isBroken).map(([, rule, text]) => ({
        rule,
        subject: instance.host,
        text: `${multiple} times the load: ${text}`,
    }));
}
