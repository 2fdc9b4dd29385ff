/** Known limit of a target in requests per second, `null` once it is lifted, and its age in milliseconds. */
export type LimitNews = readonly [target: string, perSecond: number | null, ageMs: number];
