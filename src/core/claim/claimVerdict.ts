/** Answer of a holder to an attempt that wants a key. */
export type ClaimVerdict = "granted" | "claimed" | "run" | "cannot-vouch" | "not-holder";
