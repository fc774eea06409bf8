/**
 * Log lines about a leader's planning passes: slow ones, and the client accounts
 * whose limit holds tasks back.
 *
 * @module
 */

import type { Clock } from "../../../base/clock.ts";
import type { EventLog } from "../../../base/event_log.ts";
import type { ClientAccountId } from "../../../base/identity.ts";
import type { BatchState } from "../batch_state.ts";
import type { Plan } from "../decisions/planner.ts";

/** Options of {@link PlanLog}. */
export interface PlanLogOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly state: BatchState;
}

/** A slower planning pass is logged; all calls wait meanwhile. */
const SLOW_PLAN_MS = 100;

/**
 * For how long a limit must hold nothing back before that is logged. An account
 * at its limit starts a task with each end; without this, each pass would log a
 * change.
 */
const CLEAR_AFTER_MS = 5_000;

/** What was logged of the passes of one leader. */
export class PlanLog {
  readonly #options: PlanLogOptions;
  /** The accounts logged as held back, and when they last were. */
  readonly #heldBackAtMs = new Map<ClientAccountId, number>();

  constructor(options: PlanLogOptions) {
    this.#options = options;
  }

  /** Logs what is notable about a pass that began at `beganAtMs`. */
  record(plan: Plan, pass: { beganAtMs: number; openRuns: number }): void {
    const { clock, events, state } = this.#options;
    const nowMs = clock.nowMs();
    const durationMs = nowMs - pass.beganAtMs;
    if (durationMs > SLOW_PLAN_MS) {
      events.emit("batchPlanSlow", {
        durationMs: Math.round(durationMs),
        liveJobs: state.liveJobs.size,
        openRuns: pass.openRuns,
      });
    }
    for (const account of plan.accountsHeldBack ?? []) {
      if (!this.#heldBackAtMs.has(account)) {
        const running = state.accountUsage.of(account);
        events.emit("accountLimitReached", { account, ...running });
      }
      this.#heldBackAtMs.set(account, nowMs);
    }
    for (const [account, heldBackAtMs] of this.#heldBackAtMs) {
      if (nowMs - heldBackAtMs >= CLEAR_AFTER_MS) {
        this.#heldBackAtMs.delete(account);
        events.emit("accountLimitCleared", { account });
      }
    }
  }
}
