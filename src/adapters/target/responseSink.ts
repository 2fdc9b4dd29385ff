import type { HttpHeaders } from "../../core/request/httpHeaders.js";

/** Receives the response of a target as it arrives. */
export interface ResponseSink {
    readonly onHead: (status: number, headers: HttpHeaders) => void;
    /** `wait` stops reading until `onDrain` calls its listener; `faulty` discards the rest of the response. */
    readonly onData: (chunk: Buffer) => "more" | "wait" | "faulty";
    readonly onDrain: (listener: () => void) => void;
    /** True if the content is complete; the argument tells whether its HTTP framing was. */
    readonly isComplete: (isFramingComplete: boolean) => boolean;
}
