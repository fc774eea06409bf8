/**
 * The backend servers of the simulated system: each answers a request or fails
 * in one of several ways.
 *
 * @module
 */

import type { Clock } from "../../src/base/clock.ts";
import type { RandomSource } from "../../src/base/random_source.ts";
import type {
  BackendAttempt,
  BackendAttemptEnd,
} from "../../src/process/routing/backend_client.ts";
import { expectedContent, type RequestChecker } from "./request_checker.ts";
import type { SystemMutation } from "./system_mutation.ts";

/** Options of {@link SystemServers}. */
export interface SystemServersOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly checker: RequestChecker;
  readonly mutation: SystemMutation;
}

/**
 * What a server does with a request: answers, loses the answer, refuses the
 * connection so that nothing is sent, or answers with an error.
 */
type ServerBehaviour = "answer" | "lost" | "refused" | "error";

const FAULTY_BEHAVIOURS: readonly ServerBehaviour[] = [
  "lost",
  "refused",
  "error",
];

/** All backend servers together. */
export class SystemServers {
  readonly #options: SystemServersOptions;
  /** The fraction of requests that fail. */
  faultRate = 0;
  #lastContent = "";

  constructor(options: SystemServersOptions) {
    this.#options = options;
  }

  /** Stands in for `BackendClient.send`. */
  async send(attempt: BackendAttempt): Promise<BackendAttemptEnd> {
    const { clock, random, checker, mutation } = this.#options;
    const { requestId } = attempt.record;
    const behaviour = this.#drawBehaviour();
    if (behaviour === "refused") {
      return { result: "notSent", answer: undefined, fault: undefined };
    }
    checker.recordAttempt(requestId);
    await new Promise<void>((resolve) => {
      clock.after(5 + random.nextInt(200), resolve);
    });
    if (behaviour === "lost") {
      const result = mutation.reportsLostAsNotSent ? "notSent" : "ambiguous";
      return { result, answer: undefined, fault: undefined };
    }
    const isError = behaviour === "error";
    return {
      result: isError ? "serverError" : "answered",
      fault: undefined,
      answer: {
        requestId,
        httpStatus: isError ? 500 : 200,
        contentType: undefined,
        body: new TextEncoder().encode(this.#contentFor(requestId)),
      },
    };
  }

  #contentFor(requestId: string): string {
    const own = expectedContent(requestId);
    const swaps = this.#options.mutation.swapsAnswers === true;
    const content = swaps && this.#lastContent !== "" ? this.#lastContent : own;
    this.#lastContent = own;
    return content;
  }

  #drawBehaviour(): ServerBehaviour {
    const { random } = this.#options;
    return random.nextUnit() < this.faultRate
      ? FAULTY_BEHAVIOURS[random.nextInt(FAULTY_BEHAVIOURS.length)] ?? "lost"
      : "answer";
  }
}
