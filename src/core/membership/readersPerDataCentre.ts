/** Number of instances per data centre that watch the platform, so that one continues when the other fails. */
export const readersPerDataCentre = 2;
