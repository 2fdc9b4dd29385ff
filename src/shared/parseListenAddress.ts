import type { ListenAddress } from "./listenAddress.js";

/** Parses an IPv4 address with a port, host:port, whose form has been checked. */
export function parseListenAddress(text: string): ListenAddress {
    const separator = text.lastIndexOf(":");
    return { host: text.slice(0, separator), port: Number(text.slice(separator + 1)) };
}
