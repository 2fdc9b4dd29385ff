/** What is remembered of a stream. */
export interface OriginRecord {
    /** Digest of the service and the version; `undefined` if it is not known for certain where the stream began. */
    readonly origin: string | undefined;
    /** Monotonic time in milliseconds after which the stream cannot be taken up any more. */
    readonly expiresAt: number;
}
