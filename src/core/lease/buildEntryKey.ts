/**
 * Returns the ledger key of one incarnation of an entry. Requests of an earlier incarnation stay reserved under their
 * own key.
 */
export function buildEntryKey(instance: string, incarnation: string): string {
    return `${instance}/${incarnation}`;
}
