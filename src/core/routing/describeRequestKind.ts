import type { RoutedRequest } from "./routedRequest.js";

/** Describes which targets a request may use, so that one search serves all waiting requests of the same kind. */
export function describeRequestKind(request: RoutedRequest, isOverShare: boolean): string {
    // Over its share, which targets a request may use depends on where its prompt is cached.
    const scope = isOverShare ? `affinity target of ${request.prompt.at(-2)?.id}` : "any";
    // A stream that goes on may use targets of one version only, a new one none of a version that has just appeared.
    const version = request.origin ? `version ${request.origin.version}` : String(request.route.isResumable);
    return `${scope} ${version} ${request.regions.join()}`;
}
