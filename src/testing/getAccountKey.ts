/** Bearer key of a client account in test fleets. */
export function getAccountKey(account: string): string {
    return `${account}-key`;
}
