/** An instance that became suspected or is no longer suspected. */
export interface SuspicionEffect {
    readonly type: "suspected" | "cleared";
    readonly instance: string;
}
