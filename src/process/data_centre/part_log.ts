/**
 * One part's view of a log that several parts share.
 *
 * @module
 */

import type { Stream } from "most";
import type { Result } from "../../base/mod.ts";
import type {
  MemberStatus,
  ReplicatedLog,
} from "../replication/replicated_log.ts";
import type { PartCommand } from "./shared_machine.ts";

/** How a {@link PartLog} is made. */
export interface PartLogOptions {
  /** The part's name in the shared machine. */
  readonly part: string;
  readonly log: ReplicatedLog<PartCommand, unknown>;
}

/**
 * A log for one part. Closing it does nothing, since the shared log has an
 * owner of its own.
 */
export class PartLog<Command, Outcome>
  implements ReplicatedLog<Command, Outcome> {
  readonly statuses: Stream<MemberStatus>;
  #part: string;
  #log: ReplicatedLog<PartCommand, unknown>;

  constructor(options: PartLogOptions) {
    this.#part = options.part;
    this.#log = options.log;
    this.statuses = options.log.statuses;
  }

  async propose(
    command: Command,
    options: { deadlineMs: number },
  ): Promise<Result<Outcome>> {
    const outcome = await this.#log.propose(
      { part: this.#part, command },
      options,
    );
    return outcome as Result<Outcome>;
  }

  readBarrier(options: { deadlineMs: number }): Promise<Result<void>> {
    return this.#log.readBarrier(options);
  }

  status(): MemberStatus {
    return this.#log.status();
  }

  handOver(): Promise<void> {
    return this.#log.handOver();
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}
