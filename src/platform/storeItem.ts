/** One item of the platform's store; without a value it was removed. */
export interface StoreItem {
    readonly key: string;
    readonly revision: number;
    readonly value: Buffer | undefined;
}
