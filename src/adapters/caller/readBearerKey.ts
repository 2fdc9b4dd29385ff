/** Reads the key of an `Authorization` header; `undefined` if it is no bearer key. */
export function readBearerKey(authorization: string | undefined): string | undefined {
    return /^Bearer (\S+)$/i.exec(authorization ?? "")?.[1];
}
