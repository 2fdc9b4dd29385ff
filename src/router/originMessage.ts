import type { ToldHistory } from "../core/streams/toldHistory.js";

/** Datagram about the versions at which streams began. Records are sent for each stream, so that they are short. */
export type OriginMessage =
    /** Keys of streams, each followed by the digest of its origin, or by nothing if that is not known for certain. */
    | readonly ["records", ...string[]]
    /** Number and key of the stream, and its place: host, path and position, which is `null` if it is not known. */
    | readonly ["question", number, string, string, string, number | null]
    /** Number and key of a question, and the digest of the origin; empty if not certain, `null` without a record. */
    | readonly ["answer", number, string, string | null]
    /** Asks which versions were listed; monotonic milliseconds of the asker, which the answer repeats. */
    | readonly ["history-request", number]
    | readonly ["history", number, ToldHistory]
    /** Service and version (`null` if its registrations name none) at which streams are to begin without a delay. */
    | readonly ["new-version", string, string | null]
    /** Confirms `new-version`. */
    | readonly ["version-confirmed", string, string | null]
    /** All instances have confirmed it. */
    | readonly ["version-known", string, string | null];
