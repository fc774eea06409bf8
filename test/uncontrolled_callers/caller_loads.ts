/**
 * What uncontrolled callers send: text that is repeated on a connection whose
 * answers nobody reads.
 *
 * @module
 */

/** One kind of load. */
export interface CallerLoad {
  readonly name: string;
  /**
   * The text of the request with this number on its connection; `KEY` in the
   * path stands for a new key.
   */
  readonly request: (path: string, at: number) => string;
  /** Overrides {@link BYTES_PER_CONNECTION}. */
  readonly bytesPerConnection?: number;
}

/** How much each connection sends if the process takes it. */
export const BYTES_PER_CONNECTION = 2_000_000;

/** A job's ID or a request's key that is used once. */
function newKey(at: number): string {
  return Math.floor(Math.random() * 2 ** 32).toString(16).padStart(8, "0") +
    at.toString(16).padStart(8, "0");
}

const BODY = `{"steps":[{"count":1,"cpu":1}]}`;

/** The headers of the account of test/platform_processes. */
const ACCOUNT_LINES = [
  "host: jobs.example",
  "x-api-key: key-of-the-account",
  "sesamethread-timeout-ms: 3000",
];

const SMALL_STEP = { count: 1, cpu: 100, memMb: 10, gpu: 0, estimateMs: 20 };
const SMALL_JOB = { spec: "text", steps: [SMALL_STEP] };

/** Hands a job in; `KEY` in the path stands for its ID. */
function submission(path: string, at: number, job: object): string {
  const body = JSON.stringify(job);
  return lines(
    `POST ${path.replace("KEY", newKey(at))} HTTP/1.1`,
    ...ACCOUNT_LINES,
    "content-type: application/json",
    `content-length: ${body.length}`,
  ) + body;
}

function lines(...each: string[]): string {
  return [...each, "", ""].join("\r\n");
}

/** 95 lines of one letter each: fewer than the limit of 100 fields before. */
const SHORT_LINES = Array.from({ length: 95 }, () => "a:b");

/** The size of a request head with the longest headers that are served. */
const LARGEST_HEAD_BYTES = 16_000;

const DISTINCT_SHORT_LINES = Array.from(
  { length: Math.floor(LARGEST_HEAD_BYTES / 8) },
  (_, at) => `${at.toString(36)}:`,
);

/** Legal lines: repeated names, empty values, all characters of a token. */
const UNUSUAL_LINES = Array.from({ length: 30 }, (_, at) => [
  "cookie: a=b",
  "set-cookie:",
  `!#$%&'*+-.^_\`|~${at}: \t\u00e9\u00ff`,
]).flat();

/** The fewest lines that make the largest head. */
const LONG_LINES = ["a", "b"].map((name) => `${name}: ${"x".repeat(7_000)}`);

const ONE_LETTER_LINES = Array.from({ length: 16_000 }, () => "a:");

/** A masked binary frame of 4,000,000 bytes, which are never all sent. */
const LARGE_FRAME_HEAD =
  "\x82\xff\x00\x00\x00\x00\x00\x3d\x09\x00\x00\x00\x00\x00";

/** The loads that are played against the listeners. */
export const CALLER_LOADS = {
  shortLines: {
    name: "short header lines",
    request: (path) => lines(`GET ${path} HTTP/1.1`, "host: x", ...SHORT_LINES),
  },
  manyLines: {
    name: "thousands of distinct header lines",
    request: (path) =>
      lines(`GET ${path} HTTP/1.1`, "host: x", ...DISTINCT_SHORT_LINES),
  },
  unusualLines: {
    name: "unusual header lines",
    request: (path) =>
      lines(`GET ${path} HTTP/1.1`, "host: x", ...UNUSUAL_LINES),
  },
  newKeys: {
    name: "pipelined requests with a new key each",
    request: (path, at) =>
      lines(
        `POST ${path.replace("KEY", newKey(at))} HTTP/1.1`,
        "host: x",
        `x-api-key: ${newKey(at)}`,
        `sesamethread-request: ${newKey(at)}`,
        `content-length: ${BODY.length}`,
      ) + BODY,
  },
  withoutHost: {
    name: "pipelined requests without Host",
    request: (path) => lines(`GET ${path} HTTP/1.1`),
  },
  unknownExpect: {
    name: "pipelined requests with an unknown Expect",
    request: (path) =>
      lines(`GET ${path} HTTP/1.1`, "host: x", "expect: something"),
  },
  oldVersion: {
    name: "pipelined requests of HTTP/1.0",
    request: (path) => lines(`GET ${path} HTTP/1.0`, "connection: keep-alive"),
  },
  longLines: {
    name: "long header lines",
    request: (path) => lines(`GET ${path} HTTP/1.1`, "host: x", ...LONG_LINES),
  },
  /** Node counts names and values, but not the characters between them. */
  oneLetterLines: {
    name: "heads of 64 kB in lines of one letter",
    request: (path) =>
      lines(`GET ${path} HTTP/1.1`, "host: x", ...ONE_LETTER_LINES),
  },
  unendedHeads: {
    name: "heads that never end",
    request: (path) =>
      [`GET ${path} HTTP/1.1`, "host: x", ...DISTINCT_SHORT_LINES].join("\r\n"),
    bytesPerConnection: LARGEST_HEAD_BYTES,
  },
  tinyChunks: {
    name: "tiny chunks with extensions",
    request: (path, at) =>
      at === 0
        ? lines(
          `POST ${path.replace("KEY", newKey(at))} HTTP/1.1`,
          "host: x",
          "transfer-encoding: chunked",
        )
        : "1;a=b\r\nx\r\n".repeat(100),
  },
  unendedTrailers: {
    name: "trailers that never end",
    request: (path, at) =>
      at === 0
        ? lines(
          `POST ${path.replace("KEY", newKey(at))} HTTP/1.1`,
          "host: x",
          "transfer-encoding: chunked",
        ) + "0\r\n"
        : "a:\r\n",
    bytesPerConnection: 64_000,
  },
  /** The listener of links reads a frame as a whole, before it knows a peer. */
  largeFrames: {
    name: "large frames of unknown peers",
    request: (path, at) =>
      at === 0
        ? lines(
          `GET ${path} HTTP/1.1`,
          "host: x",
          "connection: upgrade",
          "upgrade: websocket",
          "sec-websocket-version: 13",
          "sec-websocket-key: AAAAAAAAAAAAAAAAAAAAAA==",
        ) + LARGE_FRAME_HEAD
        : "x".repeat(16_384),
    bytesPerConnection: 3_900_000,
  },
  jobs: {
    name: "jobs with a known key",
    request: (path, at) => submission(path, at, SMALL_JOB),
    bytesPerConnection: 8_000,
  },
  jobReads: {
    name: "reads of jobs with a known key",
    request: (path, at) =>
      lines(
        `GET ${path.replace("KEY", newKey(at))} HTTP/1.1`,
        ...ACCOUNT_LINES,
      ),
  },
  largeBodies: {
    name: "bodies of 200 kB with a known key",
    request: (path, at) =>
      submission(path, at, { ...SMALL_JOB, comment: "x".repeat(200_000) }),
  },
  longLabels: {
    name: "jobs with labels of 200 kB with a known key",
    request: (path, at) =>
      submission(path, at, {
        steps: [{ ...SMALL_STEP, dataRack: "x".repeat(200_000) }],
      }),
  },
  largestJobs: {
    name: "jobs of 64 steps and 4,000 characters with a known key",
    request: (path, at) =>
      submission(path, at, {
        spec: "x".repeat(4_000),
        steps: Array.from({ length: 64 }, () => ({
          ...SMALL_STEP,
          dataRack: "x".repeat(250),
        })),
      }),
  },
  wideJobs: {
    name: "jobs of 4,000 tasks with a known key",
    request: (path, at) =>
      submission(path, at, { steps: [{ ...SMALL_STEP, count: 4_000 }] }),
    bytesPerConnection: 2_000,
  },
  /** Takes a place of the listener of links until it is closed. */
  silent: {
    name: "connections without a byte",
    request: () => "",
    bytesPerConnection: 0,
  },
} as const satisfies Record<string, CallerLoad>;

/** One of the names of {@link CALLER_LOADS}. */
export type CallerLoadName = keyof typeof CALLER_LOADS;
