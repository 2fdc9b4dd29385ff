import type { OriginMessage } from "./originMessage.js";

/** 60 records of 20 bytes make a datagram of about 1,200 bytes, which is not divided on its way. */
const RECORDS_PER_DATAGRAM = 60;
/** Datagrams of one flush; at a flush every 40 ms this is 1,000 a second. */
const DATAGRAMS_PER_FLUSH = 40;

/** Records on their way to the instances that hold them, several to a datagram. */
export class OriginOutbox {
    readonly #send: (message: OriginMessage, host: string) => void;
    readonly #recordsByHost = new Map<string, string[]>();

    private constructor(send: (message: OriginMessage, host: string) => void) {
        this.#send = send;
    }

    /** Creates an empty outbox. */
    static create(send: (message: OriginMessage, host: string) => void): OriginOutbox {
        return new OriginOutbox(send);
    }

    /** Adds a record for an instance. */
    add(host: string, record: string): void {
        const records = this.#recordsByHost.get(host);
        if (records) {
            records.push(record);
        }
        else {
            this.#recordsByHost.set(host, [record]);
        }
    }

    /** Sends as many datagrams as may be sent at once; the rest waits for the next call. */
    flush(): void {
        let sent = 0;
        for (const [host, records] of this.#recordsByHost) {
            while (records.length > 0) {
                if (sent === DATAGRAMS_PER_FLUSH) {
                    return;
                }
                this.#send(["records", ...records.splice(0, RECORDS_PER_DATAGRAM)], host);
                sent += 1;
            }
            this.#recordsByHost.delete(host);
        }
    }
}
