import type { MeasureOptions } from "./measureOptions.js";

/** A benchmark that returns its figures by name; `undefined` for a figure that could not be measured. */
export type Scenario = (options: MeasureOptions) => Promise<Readonly<Record<string, MeasuredValue>>>;

type MeasuredValue = string | number | undefined;
