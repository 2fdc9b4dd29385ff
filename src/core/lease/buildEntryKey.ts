/** Identifies one incarnation of an entry; work of an earlier incarnation stays reserved on its own. */
export function buildEntryKey(instance: string, incarnation: string): string {
    return `${instance}/${incarnation}`;
}
