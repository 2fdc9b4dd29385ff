/** A call to a peer that got no reply or an error. */
export class PeerCallError extends Error {
    override readonly name = "PeerCallError";
    readonly code = "peer-call-failed";
    readonly method: string;
    readonly address: string;
    /** True if the call exceeded its deadline or the peer could not be reached. */
    readonly unreachable: boolean;

    private constructor(method: string, address: string, unreachable: boolean, cause: Error) {
        super(`${method} to ${address} failed: ${cause.message}`, { cause });
        this.method = method;
        this.address = address;
        this.unreachable = unreachable;
    }

    /** Creates the error from the method, the peer's address and the gRPC error. */
    static create(method: string, address: string, unreachable: boolean, cause: Error): PeerCallError {
        return new PeerCallError(method, address, unreachable, cause);
    }
}
