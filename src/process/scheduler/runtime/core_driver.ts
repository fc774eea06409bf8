/**
 * Feeds events to the core one at a time, in order of arrival, even when
 * carrying out a decision synchronously produces the next event.
 *
 * @module
 */

import type { SchedulerDecision } from "../core/scheduler_decision.ts";
import type { SchedulerEvent } from "../core/scheduler_event.ts";
import type { DecisionCore } from "./decision_core.ts";

/** Options of {@link CoreDriver}. */
export interface CoreDriverOptions {
  readonly core: DecisionCore;
  readonly isLeading: () => boolean;
  readonly onDecision: (decision: SchedulerDecision) => void;
  /** Called when the core throws; no more events are fed afterwards. */
  readonly onFailure: (error: unknown) => void;
}

/** Drives one core. */
export class CoreDriver {
  readonly #options: CoreDriverOptions;
  readonly #queue: SchedulerEvent[] = [];
  #isFeeding = false;
  #hasFailed = false;

  constructor(options: CoreDriverOptions) {
    this.#options = options;
  }

  feed(event: SchedulerEvent): void {
    this.#queue.push(event);
    if (this.#isFeeding) {
      return;
    }
    this.#isFeeding = true;
    this.#drain();
    this.#isFeeding = false;
  }

  #drain(): void {
    let next = this.#queue.shift();
    while (next !== undefined && this.#canFeed()) {
      this.#decide(next);
      next = this.#queue.shift();
    }
  }

  #canFeed(): boolean {
    return !this.#hasFailed && this.#options.isLeading();
  }

  #decide(event: SchedulerEvent): void {
    const { core, onDecision, onFailure } = this.#options;
    try {
      core.handle(event).forEach(onDecision);
    } catch (error) {
      this.#hasFailed = true;
      onFailure(error);
    }
  }
}
