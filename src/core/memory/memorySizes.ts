/** Sizes in bytes of what the limit of the resident memory has to cover. */
export const memorySizes = {
    /** Node.js with the router, without heap and buffers. */
    baseline: 48_234_496,
    /** Growth after which garbage is collected at the latest, for a limit of 200 MiB. */
    garbage: 10_485_760,
} as const;
