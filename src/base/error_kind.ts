/**
 * The closed list of error kinds and the answer to callers for each.
 *
 * @module
 */

/** Whether work may have been carried out despite the error. */
export const Execution = {
  /** It is certain that no backend server or worker has begun the work. */
  notRun: "not run",
  /** The work may or may not have been carried out. */
  unknown: "outcome unknown",
  /** The error is not about the execution of work. */
  none: "none",
} as const;

/** One of the values of {@link Execution}. */
export type Execution = typeof Execution[keyof typeof Execution];

/** What a caller receives for one kind of error. */
export interface ErrorAnswer {
  /** HTTP status code. */
  readonly httpStatus: number;
  /** Exit code of the command-line tool. */
  readonly exitCode: number;
  /** Whether the work may have been carried out. */
  readonly execution: Execution;
  /** Whether the same call, unchanged, may succeed later. */
  readonly isRetryable: boolean;
  /** One sentence for people; the default message of errors of this kind. */
  readonly text: string;
}

/** The answer for each kind of error. */
export const ERROR_ANSWERS = {
  malformed: {
    httpStatus: 400,
    exitCode: 65,
    execution: Execution.none,
    isRetryable: false,
    text: "The input is malformed.",
  },
  unauthenticated: {
    httpStatus: 401,
    exitCode: 77,
    execution: Execution.none,
    isRetryable: false,
    text: "The key is not known.",
  },
  forbidden: {
    httpStatus: 403,
    exitCode: 77,
    execution: Execution.none,
    isRetryable: false,
    text: "The key's team is not permitted to do this.",
  },
  notFound: {
    httpStatus: 404,
    exitCode: 66,
    execution: Execution.none,
    isRetryable: false,
    text: "The item was not found.",
  },
  methodNotAllowed: {
    httpStatus: 405,
    exitCode: 64,
    execution: Execution.none,
    isRetryable: false,
    text: "The HTTP method is not allowed here.",
  },
  slowCaller: {
    httpStatus: 408,
    exitCode: 75,
    execution: Execution.notRun,
    isRetryable: true,
    text: "The body arrived too slowly.",
  },
  conflict: {
    httpStatus: 409,
    exitCode: 73,
    execution: Execution.none,
    isRetryable: false,
    text: "The change conflicts with an earlier one.",
  },
  tooLarge: {
    httpStatus: 413,
    exitCode: 65,
    execution: Execution.notRun,
    isRetryable: false,
    text: "The body exceeds the size limit.",
  },
  invalid: {
    httpStatus: 422,
    exitCode: 65,
    execution: Execution.none,
    isRetryable: false,
    text: "The input violates a rule.",
  },
  neverFits: {
    httpStatus: 422,
    exitCode: 69,
    execution: Execution.notRun,
    isRetryable: false,
    text: "The job can never be placed.",
  },
  identityReused: {
    httpStatus: 422,
    exitCode: 65,
    execution: Execution.none,
    isRetryable: false,
    text: "The ID was already used for different content.",
  },
  overloaded: {
    httpStatus: 429,
    exitCode: 75,
    execution: Execution.notRun,
    isRetryable: true,
    text: "A limit of the system has been reached.",
  },
  headersTooLarge: {
    httpStatus: 431,
    exitCode: 65,
    execution: Execution.notRun,
    isRetryable: false,
    text: "The headers exceed the size limit.",
  },
  storageFailed: {
    httpStatus: 500,
    exitCode: 74,
    execution: Execution.unknown,
    isRetryable: true,
    text: "A disk operation failed.",
  },
  internal: {
    httpStatus: 500,
    exitCode: 70,
    execution: Execution.unknown,
    isRetryable: true,
    text: "An internal error occurred.",
  },
  outcomeUnknown: {
    httpStatus: 502,
    exitCode: 76,
    execution: Execution.unknown,
    isRetryable: false,
    text: "The request was sent, but no answer was received.",
  },
  unavailable: {
    httpStatus: 503,
    exitCode: 75,
    execution: Execution.notRun,
    isRetryable: true,
    text: "No instance can handle this now.",
  },
  shuttingDown: {
    httpStatus: 503,
    exitCode: 75,
    execution: Execution.notRun,
    isRetryable: true,
    text: "The instance is stopping.",
  },
  deadlineExceeded: {
    httpStatus: 504,
    exitCode: 75,
    execution: Execution.notRun,
    isRetryable: false,
    text: "The deadline passed before the work began.",
  },
} as const satisfies Record<string, ErrorAnswer>;

/** The name of one kind of error. */
export type ErrorKind = keyof typeof ERROR_ANSWERS;
