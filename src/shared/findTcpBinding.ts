import type { ListenAddress } from "./listenAddress.js";
import { loadNodeBinding } from "./loadNodeBinding.js";
import type { SocketHandle } from "./socketHandle.js";

interface ClientHandle extends SocketHandle {
    readonly connect: (request: object, host: string, port: number) => number;
    readonly setNoDelay: (noDelay: boolean) => number;
}

/** What `Socket` of Node.js uses itself. */
interface NodeBinding {
    readonly TCP: new(type: number) => ClientHandle;
    readonly TCPConnectWrap: new() => { oncomplete?: (status: number) => void; };
    readonly constants: { readonly SOCKET: number; };
}

/** Opens connections that have no `Socket`. */
interface TcpBinding {
    /**
     * Opens a connection to an IPv4 address.
     *
     * @param onConnected Called with zero or the negative number of an error, also after the connection has been closed.
     */
    readonly connect: (address: ListenAddress, onConnected: (status: number) => void) => SocketHandle;
}

/** Finds the functions of this version of Node.js; `undefined` if it has others. */
export function findTcpBinding(): TcpBinding | undefined {
    const { TCP, TCPConnectWrap, constants } = loadNodeBinding<NodeBinding>("tcp_wrap");
    if (!TCP || !TCPConnectWrap || constants?.SOCKET === undefined) {
        return undefined;
    }
    return {
        connect: ({ host, port }, onConnected) => {
            const connection = new TCP(constants.SOCKET);
            const request = new TCPConnectWrap();
            request.oncomplete = onConnected;
            const status = connection.connect(request, host, port);
            if (status === 0) {
                connection.setNoDelay(true);
            }
            else {
                setImmediate(() => onConnected(status));
            }
            return connection;
        },
    };
}
