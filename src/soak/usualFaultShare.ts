/** Share of the requests that each target spoils all the time, so that each kind of fault occurs in a short run. */
export const USUAL_FAULT_SHARE = 0.03;
