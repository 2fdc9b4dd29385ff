/** What a stream has to be continued with: events of two versions of a service do not fit together. */
export interface StreamOrigin {
    readonly service: string;
    /** Version of the software of the target that brought the first event. */
    readonly version: string;
}
