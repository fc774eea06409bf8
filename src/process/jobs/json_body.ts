/**
 * Parses and validates JSON bodies.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { Right } from "purify-ts/Either";
import * as z from "zod";
import { failure, type Result } from "../../base/sesame_error.ts";

/** Parses the body by the schema; fails with `malformed` and the reason. */
export function readJsonBody<T>(
  body: Uint8Array,
  schema: z.ZodType<T>,
): Result<T> {
  let raw: unknown;
  try {
    raw = JSON.parse(Buffer.from(body).toString("utf8"));
  } catch {
    return failure("malformed", { detail: "the body isn't JSON" });
  }
  const parsed = schema.safeParse(raw);
  return parsed.success
    ? Right(parsed.data)
    : failure("malformed", { detail: z.prettifyError(parsed.error) });
}
