import type { RoutedRequest } from "../core/routing/routedRequest.js";
import type { TargetDescriptor } from "../core/routing/targetDescriptor.js";

type Place = Pick<TargetDescriptor, "service" | "version">;

/**
 * Keeps the runs of a stream that may be taken up at one version, from the first target that may run it on: after a restart
 * of all instances, a run at a target names the version that began its stream.
 */
export class RunVersion {
    readonly #unbound: RoutedRequest;
    #request: RoutedRequest;
    #hasBegun = false;
    /** True while targets that got the request have brought no event. */
    #isProvisional = false;

    private constructor(request: RoutedRequest) {
        this.#unbound = request;
        this.#request = request;
    }

    /** Creates the state of a request that no target has got. */
    static create(request: RoutedRequest): RunVersion {
        return new RunVersion(request);
    }

    /** The request, with the version that it has to keep to. */
    get request(): RoutedRequest {
        return this.#request;
    }

    /** True once an event of a stream that may be resumed has been passed on. */
    get hasBegun(): boolean {
        return this.#hasBegun;
    }

    /** Records that a target may run the request. */
    recordWritten({ service, version }: Place): void {
        const { route, origin } = this.#request;
        if (route.isResumable && origin === undefined && version !== undefined) {
            this.#request = { ...this.#request, origin: { service, version } };
            this.#isProvisional = true;
        }
    }

    /** Records that a target has not run the request, with the number of other targets that may have. */
    recordRefused(executions: number): void {
        if (this.#isProvisional && executions === 0) {
            this.#request = this.#unbound;
            this.#isProvisional = false;
        }
    }

    /** Records that the first event of a stream is about to be passed on. */
    recordBegun({ service, version }: Place): void {
        this.#request = { ...this.#request, origin: { service, version } };
        this.#isProvisional = false;
        this.#hasBegun = this.#request.route.isResumable;
    }
}
