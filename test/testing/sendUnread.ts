import { connect } from "node:net";

/**
 * Sends a whole request on a new connection before it reads anything.
 *
 * @returns What it then reads, or the code of the error that ended the connection.
 */
export function sendUnread(port: number, head: string, body: Buffer): Promise<string> {
    return new Promise(resolve => {
        const socket = connect(port, "127.0.0.1");
        let received = "";
        socket.pause();
        socket.on("error", (error: NodeJS.ErrnoException) => resolve(error.code ?? error.message));
        socket.on("data", data => received += data.toString());
        socket.on("end", () => resolve(received));
        socket.write(head);
        socket.write(body, () => socket.resume());
    });
}
