import type { ChangeBatch } from "./changeBatch.js";

/**
 * Waits for changes after a revision, for a limited time; without a revision it returns everything at once.
 *
 * @throws SourceError when the source does not answer or no longer knows the revision.
 */
export type ChangeSource = (after: number | undefined) => Promise<ChangeBatch>;
