import type { HttpHeaders } from "../../core/request/httpHeaders.js";

/** Takes the answer of a target as it arrives. */
export interface AnswerSink {
    readonly onHead: (status: number, headers: HttpHeaders) => void;
    /** `wait` stops reading until `onDrain` calls its listener; `faulty` discards the rest of the answer. */
    readonly onData: (chunk: Buffer) => "more" | "wait" | "faulty";
    readonly onDrain: (listener: () => void) => void;
    /** True if the content is whole, given that its HTTP framing was complete or not. */
    readonly isWhole: (isFramingComplete: boolean) => boolean;
}
