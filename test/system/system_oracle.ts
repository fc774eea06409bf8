/**
 * What the system promises, judged on what callers, operators and workers
 * saw; it knows nothing of how the system works.
 *
 * @module
 */

import { EditJudge } from "./edit_judge.ts";
import { RequestJudge } from "./request_judge.ts";
import { TaskJudge } from "./task_judge.ts";

/** Judges one whole history. */
export class SystemOracle {
  readonly edits = new EditJudge();
  readonly requests = new RequestJudge();
  readonly tasks = new TaskJudge();

  /** Every broken promise, in words. */
  violations(): string[] {
    return [
      ...this.edits.violations,
      ...this.requests.violations,
      ...this.tasks.violations(this.edits.removals),
    ];
  }
}
