/**
 * Checks the invariants of the system against what callers, operators and
 * workers observed, without knowledge of its implementation.
 *
 * @module
 */

import { EditChecker } from "./edit_checker.ts";
import { RequestChecker } from "./request_checker.ts";
import { TaskChecker } from "./task_checker.ts";

/** Checks one history. */
export class SystemOracle {
  readonly edits = new EditChecker();
  readonly requests = new RequestChecker();
  readonly tasks = new TaskChecker();

  /** A description of every violation. */
  violations(): string[] {
    return [
      ...this.edits.violations,
      ...this.requests.violations,
      ...this.tasks.violations(this.edits.removals),
    ];
  }
}
