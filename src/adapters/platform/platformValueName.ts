/** Names of the values that the platform publishes, as in its URLs. */
export type PlatformValueName = "configuration" | "instances";
