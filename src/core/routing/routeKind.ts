/** What may be repeated: `safe` requests at will, the others at most once unless a stream can be resumed. */
export type RouteKind = "safe" | "unsafe" | "stream";
