/**
 * Speed of a target as an instance has observed it: time that requests take there in percent of the expected time, and
 * milliseconds since the observation.
 */
export type SharedSpeed = readonly [targetId: string, percent: number, ageMs: number];
