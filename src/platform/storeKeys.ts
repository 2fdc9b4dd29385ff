/** Keys of the platform's store that the router follows (PROTOCOL.md). */
export const storeKeys = {
    configuration: "op/config",
    evacuationPrefix: "op/evacuate/",
    targetPrefix: "servers/",
} as const;
