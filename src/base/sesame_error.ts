/**
 * The error type that modules return to each other.
 *
 * @module
 */

import { type Either, Left } from "purify-ts/Either";
import {
  ERROR_ANSWERS,
  type ErrorAnswer,
  type ErrorKind,
} from "./error_kind.ts";

/** What an error contains besides its kind. */
export interface SesameErrorOptions {
  /** The message; by default, the text of the kind. */
  readonly detail?: string;
  /** The place in a document or file, such as `services.quote`. */
  readonly location?: string;
  /** Data that helps the caller to recover, such as the current version. */
  readonly facts?: Readonly<Record<string, unknown>>;
}

/** An error of one of the kinds of {@link ERROR_ANSWERS}. */
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

  /** What the caller receives for this error. */
  get answer(): ErrorAnswer {
    return ERROR_ANSWERS[this.kind];
  }
}

/** A value, or the error that prevented it. */
export type Result<T> = Either<SesameError, T>;

/** A {@link Result} that holds a new error as its left side. */
export function failure<T = never>(
  kind: ErrorKind,
  options: SesameErrorOptions = {},
): Result<T> {
  return Left(new SesameError(kind, options));
}
