import { createRandom } from "../../standIns/client/createRandom.js";
import { ClientLoad } from "../clientLoad.js";
import { collectSamples } from "../collectSamples.js";
import { createMeasuredFleet } from "../createMeasuredFleet.js";
import { engineSettings } from "../engineSettings.js";
import type { FleetSample } from "../fleetSample.js";
import { formatFigure } from "../formatFigure.js";
import { planLightAccounts } from "../planLightAccounts.js";
import type { Scenario } from "../scenario.js";
import { waitMs } from "../waitMs.js";

const DEFAULT_SECONDS = 30;
const CALL_DEADLINE_MS = 15_000;
/** More callers than slots, so that there is demand for every slot that an engine offers. */
const CALLERS = 160;
const ENGINES_TURNED_COLD = 4;
/** Fraction of busy slots that counts as full use; a slot is idle for a round trip between two requests. */
const FULL_USE = 0.9;

/** Measures a start with cold engines, then engines that turn cold under load without warning. */
export const measureColdStart: Scenario = async options => {
    const random = createRandom(options.seed);
    const plans = planLightAccounts(options.accounts, CALLERS, 0);
    const fleet = await createMeasuredFleet(options, plans, {
        engine: { ...engineSettings, startsCold: true, warmRequestsPerSlot: 3, warmMsPerSlot: 3_000 },
    });
    try {
        const halfMs = (options.durationSeconds ?? DEFAULT_SECONDS) * 500;
        const startMs = Date.now();
        const load = ClientLoad.create({ fleet, plans, random, deadlineMs: CALL_DEADLINE_MS });
        await waitMs(halfMs);
        const engines = fleet.targets.names.filter(name => name.startsWith("engine"));
        const turned = [...engines].sort(() => random() - 0.5).slice(0, ENGINES_TURNED_COLD);
        options.logProgress(`turning cold: ${turned.join(", ")}`);
        await Promise.all(turned.map(name => fleet.targets.setCold(name)));
        await waitMs(halfMs);
        const samples = await collectSamples(fleet.targets);
        const unanswered = await load.stop(CALL_DEADLINE_MS * 2);
        const summaries = await fleet.targets.readSummaries();
        const sum = (key: "breaches" | "breachesBeforeNotice" | "timesFallen"): number =>
            summaries.reduce((total, summary) => total + summary[key], 0);
        const slots = fleet.configuration.targets.filter(target => target.service === "model-desk")
            .reduce((total, target) => total + target.slotLimit, 0);
        return {
            policy: options.policy,
            seed: options.seed,
            limitBreaches: sum("breaches") - sum("breachesBeforeNotice"),
            breachesBeforeNotice: sum("breachesBeforeNotice"),
            fellOver: sum("timesFallen"),
            timeToFullLimitMs: findFullUse(samples, engines, slots, startMs),
            servedShare: formatFigure(
                load.results.filter(result => result.correct).length / (load.results.length + unanswered),
                4,
            ),
            requests: load.results.length,
            wrongAnswers: load.results.filter(result => result.verdict === "wrong").length,
        };
    }
    finally {
        await fleet.close();
    }
};

function findFullUse(
    samples: readonly FleetSample[],
    engines: readonly string[],
    slots: number,
    startMs: number,
): number | undefined {
    const full = samples.find(sample =>
        engines.reduce((sum, name) => sum + (sample.running.get(name) ?? 0), 0) >= FULL_USE * slots
    );
    return full && full.atMs - startMs;
}
