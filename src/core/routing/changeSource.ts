import type { ChangeBatch } from "./changeBatch.js";

/**
 * Waits for changes after a revision, for a limited time; without a revision it returns everything at once.
 *
 * @param isUrgent True if the answer must come at once, because the age of the present state nears its limit.
 *
 * @throws SourceError when the source does not answer or no longer knows the revision.
 */
export type ChangeSource = (after: number | undefined, isUrgent?: boolean) => Promise<ChangeBatch>;
