/**
 * The one error type that crosses module borders.
 *
 * @module
 */

import { type Either, Left } from "purify-ts/Either";
import {
  ERROR_ANSWERS,
  type ErrorAnswer,
  type ErrorKind,
} from "./error_kind.ts";

/** What an error says besides its kind. */
export interface SesameErrorOptions {
  /** What went wrong here, for the person who reads it. */
  readonly detail?: string;
  /** Where in a document or file it went wrong, such as `services.quote`. */
  readonly location?: string;
  /** The current text, version or other facts that help to go on. */
  readonly facts?: Readonly<Record<string, unknown>>;
}

/** An error of the closed list. */
export class SesameError extends Error {
  readonly kind: ErrorKind;
  readonly location: string | undefined;
  readonly facts: Readonly<Record<string, unknown>>;

  constructor(kind: ErrorKind, options: SesameErrorOptions = {}) {
    super(options.detail ?? ERROR_ANSWERS[kind].text);
    this.name = "SesameError";
    this.kind = kind;
    this.location = options.location;
    this.facts = options.facts ?? {};
  }

  /** What the caller gets for this error. */
  get answer(): ErrorAnswer {
    return ERROR_ANSWERS[this.kind];
  }
}

/** A result, or the error that stood in its way. */
export type Result<T> = Either<SesameError, T>;

/** The error as the left side of a {@link Result}. */
export function failure<T = never>(
  kind: ErrorKind,
  options: SesameErrorOptions = {},
): Result<T> {
  return Left(new SesameError(kind, options));
}
