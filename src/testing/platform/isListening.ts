import { readFileSync } from "node:fs";
import { connect } from "node:net";

const HEX = 16;

/** Returns whether a process on this machine listens on a port, without taking the port meanwhile. */
export function isListening(protocol: "tcp" | "udp", host: string, port: number): Promise<boolean> {
    return protocol === "tcp" ? isAccepting(host, port) : Promise.resolve(isBound(host, port));
}

function isAccepting(host: string, port: number): Promise<boolean> {
    return new Promise(resolve => {
        const socket = connect(port, host);
        socket.on("connect", () => {
            socket.destroy();
            resolve(true);
        });
        socket.on("error", () => resolve(false));
    });
}

/** A datagram socket shows itself to nobody who connects, but the kernel lists it, with its address in the byte order of the machine. */
function isBound(host: string, port: number): boolean {
    const bytes = host.split(".").reverse().map(byte => formatHex(Number(byte), 2));
    const address = `${bytes.join("")}:${formatHex(port, 4)}`;
    return readFileSync("/proc/net/udp", "utf8").includes(` ${address} `);
}

function formatHex(value: number, digits: number): string {
    return value.toString(HEX).toUpperCase().padStart(digits, "0");
}
