/**
 * One component's view of a log that several components share.
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

/** How to build a {@link PartLog}. */
export interface PartLogOptions {
  /** The component's name in the {@link SharedMachine}. */
  readonly part: string;
  readonly log: ReplicatedLog<PartCommand, unknown>;
}

/**
 * A log for one component. Closing it does nothing, since the component
 * doesn't own the shared log.
 */
export class PartLog<Command, Outcome>
  implements ReplicatedLog<Command, Outcome> {
  readonly statuses: Stream<MemberStatus>;
  #component: string;
  #log: ReplicatedLog<PartCommand, unknown>;

  constructor(options: PartLogOptions) {
    this.#component = options.part;
    this.#log = options.log;
    this.statuses = options.log.statuses;
  }

  async propose(
    command: Command,
    options: { deadlineMs: number },
  ): Promise<Result<Outcome>> {
    const outcome = await this.#log.propose(
      { part: this.#component, command },
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
