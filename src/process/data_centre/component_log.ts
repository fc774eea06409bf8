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
import type { ComponentCommand } from "./shared_machine.ts";

/** How to build a {@link ComponentLog}. */
export interface ComponentLogOptions {
  /** The component's name in the {@link SharedMachine}. */
  readonly part: string;
  readonly log: ReplicatedLog<ComponentCommand, unknown>;
}

/**
 * A log for one component. Closing it does nothing, since the component
 * doesn't own the shared log.
 */
export class ComponentLog<Command, Outcome>
  implements ReplicatedLog<Command, Outcome> {
  readonly statuses: Stream<MemberStatus>;
  #component: string;
  #log: ReplicatedLog<ComponentCommand, unknown>;

  constructor(options: ComponentLogOptions) {
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
