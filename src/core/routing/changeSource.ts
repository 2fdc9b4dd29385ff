import type { ChangeBatch } from "./changeBatch.js";
import type { ChangePosition } from "./changePosition.js";

/**
 * Waits a limited time for changes after a position; without a position, returns a full snapshot at once.
 *
 * @param isUrgent True to return without waiting, and to fail early, because the current state is old.
 *
 * @throws SourceError if the source does not reply or no longer has the changes since the position.
 */
export type ChangeSource = (after: ChangePosition | undefined, isUrgent?: boolean) => Promise<ChangeBatch>;
