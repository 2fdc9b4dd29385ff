/** A call to the platform that got no usable response. */
export class PlatformError extends Error {
    override readonly name = "PlatformError";
    readonly code = "platform-call-failed";

    private constructor(message: string, cause: unknown) {
        super(message, { cause });
    }

    /** Creates the error from the name of the value and what went wrong. */
    static create(value: string, detail: string, cause?: unknown): PlatformError {
        return new PlatformError(`The platform returned no usable ${value}: ${detail}`, cause);
    }
}
