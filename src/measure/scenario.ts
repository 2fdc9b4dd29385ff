import type { MeasureOptions } from "./measureOptions.js";

/** An experiment; returns its figures by name. `undefined` stands for a figure that could not be taken. */
export type Scenario = (options: MeasureOptions) => Promise<Readonly<Record<string, MeasuredValue>>>;

type MeasuredValue = string | number | undefined;
