/** Failure to read from a source of changes. */
export class SourceError extends Error {
    override readonly name = "SourceError";
    /** `history-lost` if the source no longer knows the changes since a revision, else the cause of the failure. */
    readonly code: string;
    readonly status: number | undefined;

    private constructor(code: string, status: number | undefined) {
        super(`Failed to read the source of changes: ${code}${status === undefined ? "" : ` ${status}`}.`);
        this.code = code;
        this.status = status;
    }

    /** Creates the error. */
    static create(code: string, status?: number): SourceError {
        return new SourceError(code, status);
    }
}
