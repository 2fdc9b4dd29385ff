/** Position in the platform's changes. */
export interface ChangePosition {
    /** Rises each time the store comes back from an older copy and gives out revisions again; `NO_ERA` if it names none. */
    readonly era: number;
    readonly revision: number;
}
