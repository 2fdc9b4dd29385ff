/** Clocks of two instances, and of a caller that makes keys, may differ by this much. */
export const clockMarginMs = 1000;
