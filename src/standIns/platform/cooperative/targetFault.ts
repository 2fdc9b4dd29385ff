/**
 * Fault of one response of a target:
 *
 * - `cut`: the connection is closed in the middle of the response.
 * - `lost`: the request runs and the connection is reset instead of a response.
 * - `crossed`: the response carries the identifier of another request.
 * - `doubled`: a second response follows the first; streams, and responses without a length, are not affected.
 * - `unframed`: like `cut`, but a response that is no stream states no length.
 * - `full`: the request is refused and not run.
 * - `unidentified`: like `full`, but the refusal names no request, and a copy of it arrives late, where the next response
 *   on the connection is expected.
 * - `extra`: the same copy arrives after a response.
 * - `error`: the request runs and fails.
 * - `mute`: the request runs and gets no response at all.
 * - `stale`: the request runs, and the refusal of an earlier request is written instead of the response.
 * - `restarted`: a resumed stream begins with its first event.
 * - `empty`: a resumed stream is complete without any event.
 */
export type TargetFault =
    | "none"
    | "cut"
    | "lost"
    | "crossed"
    | "doubled"
    | "unframed"
    | "full"
    | "unidentified"
    | "extra"
    | "error"
    | "mute"
    | "stale"
    | "restarted"
    | "empty";
