/** A server whose port could not be bound, so that the process cannot start. */
export class PortError extends Error {
    override readonly name = "PortError";
    readonly code = "port-unavailable";
    /** Name of the server, as in log lines. */
    readonly server: string;
    /** Address that could not be bound, host:port. */
    readonly address: string;

    private constructor(server: string, address: string, cause: Error) {
        super(`The server "${server}" cannot use ${address}: ${cause.message}`, { cause });
        this.server = server;
        this.address = address;
    }

    /** Creates the error from the server, its address and the error of the operating system. */
    static create(server: string, address: string, cause: Error): PortError {
        return new PortError(server, address, cause);
    }
}
