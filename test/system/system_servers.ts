/**
 * The backend servers of the system bed: each answers what it was asked, or
 * fails in one of the ways in which servers fail.
 *
 * @module
 */

import type { Clock } from "../../src/base/clock.ts";
import type { RandomSource } from "../../src/base/random_source.ts";
import type {
  BackendAttempt,
  BackendAttemptEnd,
} from "../../src/process/routing/backend_client.ts";
import { contentOf, type RequestJudge } from "./request_judge.ts";
import type { SystemMutation } from "./system_faults.ts";

/** Options of {@link SystemServers}. */
export interface SystemServersOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly judge: RequestJudge;
  readonly mutation: SystemMutation;
}

/** One way in which a server takes a request. */
type Fate = "answer" | "lost" | "refused" | "error";

const FAULTY_FATES: readonly Fate[] = ["lost", "refused", "error"];

/** Every backend server at once. */
export class SystemServers {
  readonly #options: SystemServersOptions;
  /** The fraction of requests that fail. */
  faultRate = 0;
  #last = "";

  constructor(options: SystemServersOptions) {
    this.#options = options;
  }

  /** What a client of the servers does. */
  async send(attempt: BackendAttempt): Promise<BackendAttemptEnd> {
    const { clock, random, judge, mutation } = this.#options;
    const { requestId } = attempt.record;
    const fate = this.#drawFate();
    if (fate === "refused") {
      return { result: "notSent", answer: undefined, fault: undefined };
    }
    judge.noteSending(requestId);
    await new Promise<void>((resolve) => {
      clock.after(5 + random.nextInt(200), resolve);
    });
    if (fate === "lost") {
      const result = mutation.misjudgesLoss ? "notSent" : "ambiguous";
      return { result, answer: undefined, fault: undefined };
    }
    const isError = fate === "error";
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
    const own = contentOf(requestId);
    const crosses = this.#options.mutation.crossesAnswers === true;
    const given = crosses && this.#last !== "" ? this.#last : own;
    this.#last = own;
    return given;
  }

  #drawFate(): Fate {
    const { random } = this.#options;
    return random.nextUnit() < this.faultRate
      ? FAULTY_FATES[random.nextInt(FAULTY_FATES.length)] ?? "lost"
      : "answer";
  }
}
