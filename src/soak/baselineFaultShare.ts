/** Fraction of the requests that get a fault at any target throughout a run, so that short runs see every kind. */
export const BASELINE_FAULT_SHARE = 0.03;
