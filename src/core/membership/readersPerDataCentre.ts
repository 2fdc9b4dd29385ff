/** Instances of each data centre that watch the platform; the second continues when the first fails. */
export const readersPerDataCentre = 2;
