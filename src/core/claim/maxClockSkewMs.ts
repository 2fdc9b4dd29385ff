/** Largest clock difference allowed for between two instances, or an instance and a caller that creates keys. */
export const maxClockSkewMs = 1000;
