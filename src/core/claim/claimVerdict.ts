/** Reply of a holder to an attempt that claims a key. */
export type ClaimVerdict = "granted" | "claimed" | "run" | "cannot-vouch" | "not-holder";
