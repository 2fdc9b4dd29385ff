/** One request as it is sent to a target. */
export interface OutgoingRequest {
    readonly method: string;
    readonly path: string;
    readonly headers: string[];
    readonly body: Buffer | undefined;
}
