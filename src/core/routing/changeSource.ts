import type { ChangeBatch } from "./changeBatch.js";

/**
 * Waits a limited time for changes after a revision; without a revision, returns a full snapshot at once.
 *
 * @param isUrgent True to return without waiting, and to fail early, because the current state is old.
 *
 * @throws SourceError if the source does not reply or no longer has the changes since the revision.
 */
export type ChangeSource = (after: number | undefined, isUrgent?: boolean) => Promise<ChangeBatch>;
