/**
 * The frames on a link between two instances, encoded with `msgpackr`.
 *
 * The dialling side sends `hello`, and the accepting side replies with
 * `challenge`. The dialling side then proves with `proof` that it holds the
 * cluster key, and the accepting side proves the same with `welcome`. After
 * that only the dialling side sends, and only `message` frames.
 *
 * @module
 */

import { Packr, Unpackr } from "msgpackr";
import { Left, Right } from "purify-ts/Either";
import * as z from "zod";
import { failure, type Result, SesameError } from "../base/mod.ts";
import { IDENTITY_PATTERN } from "../base/identity.ts";

/** The version of the protocol between instances. */
export const PEER_PROTOCOL_VERSION = 1;

const idSchema = z.string().regex(IDENTITY_PATTERN);
const nonceSchema = bytesOf(16);
const macSchema = bytesOf(32);

const helloSchema = z.strictObject({
  kind: z.literal("hello"),
  protocolVersion: z.int(),
  clusterName: idSchema,
  from: idSchema,
  to: idSchema,
  nonce: nonceSchema,
});

const challengeSchema = z.strictObject({
  kind: z.literal("challenge"),
  nonce: nonceSchema,
});

const proofSchema = z.strictObject({
  kind: z.literal("proof"),
  mac: macSchema,
});

const welcomeSchema = z.strictObject({
  kind: z.literal("welcome"),
  mac: macSchema,
});

const messageSchema = z.strictObject({
  kind: z.literal("message"),
  channel: z.string().min(1).max(64),
  /** `wallMs` and `counter` are the sender's hybrid timestamp. */
  wallMs: z.number(),
  counter: z.int().min(0),
  body: z.unknown(),
});

/** The schema of all frames. */
export const peerFrameSchema = z.discriminatedUnion("kind", [
  helloSchema,
  challengeSchema,
  proofSchema,
  welcomeSchema,
  messageSchema,
]);

export type HelloFrame = z.infer<typeof helloSchema>;
export type MessageFrame = z.infer<typeof messageSchema>;
export type PeerFrame = z.infer<typeof peerFrameSchema>;

const packr = new Packr({ useRecords: false, moreTypes: false });
const unpackr = new Unpackr({ useRecords: false, moreTypes: false });

/** Encodes a frame. */
export function encodeFrame(frame: PeerFrame): Uint8Array {
  return packr.pack(frame);
}

/** Decodes a frame; `malformed` if `bytes` is not a valid frame. */
export function decodeFrame(bytes: Uint8Array): Result<PeerFrame> {
  return unpack(bytes).chain(checkFrame);
}

function unpack(bytes: Uint8Array): Result<unknown> {
  try {
    return Right(unpackr.unpack(bytes));
  } catch {
    return failure("malformed", { detail: "not a msgpack value" });
  }
}

function checkFrame(value: unknown): Result<PeerFrame> {
  const checked = peerFrameSchema.safeParse(value);
  if (checked.success) {
    return Right(checked.data);
  }
  const detail = checked.error.issues[0]?.message ?? "unknown frame";
  return Left(new SesameError("malformed", { detail }));
}

function bytesOf(length: number): z.ZodType<Uint8Array> {
  return z.custom<Uint8Array>((value) =>
    value instanceof Uint8Array && value.length === length
  );
}
