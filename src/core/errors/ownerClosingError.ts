/** The owner of a pool is stopping and accepts no more demand reports. */
export class OwnerClosingError extends Error {
    override readonly name = "OwnerClosingError";
    readonly code = "owner-closing";

    private constructor() {
        super("The owner of the pool is leaving.");
    }

    /** Creates the error. */
    static create(): OwnerClosingError {
        return new OwnerClosingError();
    }
}
