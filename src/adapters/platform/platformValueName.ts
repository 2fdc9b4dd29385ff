/** Names of what the platform publishes, as in its URLs. */
export type PlatformValueName = "configuration" | "instances";
