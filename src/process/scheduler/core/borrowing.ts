/**
 * Whether a client account may borrow: hold capacity beyond its guarantee.
 *
 * @module
 */

import type { CoreContext } from "./core_context.ts";
import { gangAccelerators, type JobState } from "./job_state.ts";
import type { WaitReason } from "./scheduler_decision.ts";

/** Why the job may not run on borrowed capacity; undefined if it may. */
export function borrowingWaitReason(
  job: JobState,
  context: CoreContext,
): WaitReason | undefined {
  const { policy, ledger } = context;
  const name = job.specification.clientAccount;
  const section = policy.clientAccount(name);
  if (section === undefined || section.borrowingWeight === 0) {
    return "fairShare";
  }
  const limit = section.borrowingLimitAccelerators;
  const held = ledger.account(name).borrowedAccelerators;
  return limit !== undefined && held + gangAccelerators(job) > limit
    ? "borrowingLimit"
    : undefined;
}

/** Whether the job's client account borrows more than its fair share. */
export function isOverShare(job: JobState, context: CoreContext): boolean {
  const { policy, ledger } = context;
  const name = job.specification.clientAccount;
  const weight = policy.clientAccount(name)?.borrowingWeight ?? 0;
  const held = ledger.account(name).borrowedAccelerators;
  const fairFraction = weight / Math.max(weight, policy.totalBorrowingWeight);
  return held > fairFraction * ledger.borrowedAccelerators;
}

export function mayBorrow(job: JobState, context: CoreContext): boolean {
  return borrowingWaitReason(job, context) === undefined;
}
