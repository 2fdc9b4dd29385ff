import type { CapacityClass } from "../admission/capacityClass.js";
import type { RoutedRequest } from "./routedRequest.js";

/** Describes which targets a request may use, so that one search serves all waiting requests of the same kind. */
export function describeRequestKind(request: RoutedRequest, capacity: CapacityClass): string {
    const scope = capacity === "idle-cached" ? `affinity target of ${request.prompt.at(-2)?.id}` : capacity;
    // A stream that goes on may use targets of one version only, a new one none of a version that has just appeared.
    const version = request.origin ? `version ${request.origin.version}` : String(request.route.isResumable);
    return `${scope} ${version} ${request.regions.join()}`;
}
