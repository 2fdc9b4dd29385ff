import type { Scenario } from "./scenario.js";
import { measureCapacity } from "./scenarios/measureCapacity.js";
import { measureColdStart } from "./scenarios/measureColdStart.js";
import { measureConfiguration } from "./scenarios/measureConfiguration.js";
import { measureDataCentre } from "./scenarios/measureDataCentre.js";
import { measureDecision } from "./scenarios/measureDecision.js";
import { measureFairness } from "./scenarios/measureFairness.js";
import { measureFaults } from "./scenarios/measureFaults.js";
import { measureOverhead } from "./scenarios/measureOverhead.js";
import { measurePlacement } from "./scenarios/measurePlacement.js";

/** All benchmark scenarios by command-line name. */
export const scenarios: Readonly<Record<string, Scenario>> = {
    capacity: measureCapacity,
    overhead: measureOverhead,
    fairness: measureFairness,
    coldstart: measureColdStart,
    datacentre: measureDataCentre,
    configuration: measureConfiguration,
    decision: measureDecision,
    faults: measureFaults,
    placement: measurePlacement,
};
