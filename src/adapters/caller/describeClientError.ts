import { RequestError } from "../../core/errors/requestError.js";

/** Returns the failure of a request that could not be read, from the code of the error of its connection or of the parser. */
export function describeClientError(code: string | undefined): RequestError {
    if (code === "HPE_HEADER_OVERFLOW") {
        return RequestError.create("headers-too-large", "The headers are too large.");
    }
    if (code === "ERR_HTTP_REQUEST_TIMEOUT" || code === "ECONNRESET" || code === "HPE_INVALID_EOF_STATE") {
        return RequestError.create("request-incomplete", "The request did not arrive completely.");
    }
    return RequestError.create("malformed-request", "The request is not valid HTTP.");
}
