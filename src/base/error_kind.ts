/**
 * The closed list of error kinds and the table from kind to answer.
 *
 * @module
 */

/** Whether the work that failed may have been done. */
export const Execution = {
  /** It is proved that no backend server or worker began the work. */
  notRun: "not run",
  /** The work may or may not have been done. */
  unknown: "outcome unknown",
  /** The error isn't about work to be done. */
  none: "none",
} as const;

/** One of the values of {@link Execution}. */
export type Execution = typeof Execution[keyof typeof Execution];

/** What a caller gets for one kind of error. */
export interface ErrorAnswer {
  /** HTTP status code. */
  readonly httpStatus: number;
  /** Exit code of the command-line tool. */
  readonly exitCode: number;
  /** What is known about the work. */
  readonly execution: Execution;
  /** Whether the same call may succeed later, unchanged. */
  readonly isRetryable: boolean;
  /** One sentence for people. */
  readonly text: string;
}

/** Every kind of error, with its answer. */
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
    text: "The key's team may not do this.",
  },
  notFound: {
    httpStatus: 404,
    exitCode: 66,
    execution: Execution.none,
    isRetryable: false,
    text: "There is no such thing.",
  },
  methodNotAllowed: {
    httpStatus: 405,
    exitCode: 64,
    execution: Execution.none,
    isRetryable: false,
    text: "The HTTP method is wrong.",
  },
  slowCaller: {
    httpStatus: 408,
    exitCode: 75,
    execution: Execution.notRun,
    isRetryable: true,
    text: "The body came too slowly.",
  },
  conflict: {
    httpStatus: 409,
    exitCode: 73,
    execution: Execution.none,
    isRetryable: false,
    text: "Another change came first.",
  },
  tooLarge: {
    httpStatus: 413,
    exitCode: 65,
    execution: Execution.notRun,
    isRetryable: false,
    text: "The body is over the limit.",
  },
  invalid: {
    httpStatus: 422,
    exitCode: 65,
    execution: Execution.none,
    isRetryable: false,
    text: "The input breaks a rule.",
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
    text: "The identity was used for different content.",
  },
  overloaded: {
    httpStatus: 429,
    exitCode: 75,
    execution: Execution.notRun,
    isRetryable: true,
    text: "The system is at its limit.",
  },
  headersTooLarge: {
    httpStatus: 431,
    exitCode: 65,
    execution: Execution.notRun,
    isRetryable: false,
    text: "The headers are over the limit.",
  },
  storageFailed: {
    httpStatus: 500,
    exitCode: 74,
    execution: Execution.unknown,
    isRetryable: true,
    text: "The disk failed.",
  },
  internal: {
    httpStatus: 500,
    exitCode: 70,
    execution: Execution.unknown,
    isRetryable: true,
    text: "The system failed.",
  },
  outcomeUnknown: {
    httpStatus: 502,
    exitCode: 76,
    execution: Execution.unknown,
    isRetryable: false,
    text: "The request was sent and no answer came.",
  },
  unavailable: {
    httpStatus: 503,
    exitCode: 75,
    execution: Execution.notRun,
    isRetryable: true,
    text: "No instance can do this now.",
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

/** One kind of error, of the closed list. */
export type ErrorKind = keyof typeof ERROR_ANSWERS;
