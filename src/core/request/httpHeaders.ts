/** Headers by lower-case name; a list is sent as one line for each value. */
export type HttpHeaders = Readonly<Record<string, string | string[]>>;
