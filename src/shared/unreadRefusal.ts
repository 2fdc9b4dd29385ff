/** Response to a connection whose request is not read any more: what its caller has sent or is about to send has not run. */
export const UNREAD_REFUSAL =
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
