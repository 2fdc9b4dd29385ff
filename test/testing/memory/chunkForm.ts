/** A chunked body as it is sent. */
export interface ChunkForm {
    readonly name: string;
    readonly whole: Buffer;
}
