/**
 * Checks operators' edits: they are linearizable, a resent edit has the same
 * outcome, and no instance's copy of the document returns to an older version
 * or differs from another instance's copy of the same version.
 *
 * @module
 */

import type { SystemDataCentre } from "./system_document.ts";

/** An edit that an operator has sent. */
export interface SentEdit {
  readonly editId: string;
  readonly section: string;
  readonly baseVersion: number;
  readonly sentAtMs: number;
  /** Set with `status` if the edit takes a data centre out or puts it in. */
  readonly dataCentre?: SystemDataCentre;
  readonly status?: "in" | "out";
}

/** An edit that was reported as accepted. */
interface AcceptedEdit extends SentEdit {
  readonly version: number;
  readonly answeredAtMs: number;
}

/** The period in which a removal of a data centre is in effect. */
export interface EffectiveRemoval {
  readonly dataCentre: SystemDataCentre;
  /** When the removal was reported to have taken effect. */
  readonly fromMs: number;
  /** The earliest time at which the data centre may be in again. */
  readonly untilMs: number;
}

/** Checks the edits of one history. */
export class EditChecker {
  readonly violations: string[] = [];
  readonly #accepted = new Map<string, AcceptedEdit>();
  readonly #sent: SentEdit[] = [];
  readonly #effectiveRemovals: { edit: AcceptedEdit; fromMs: number }[] = [];
  readonly #rejected = new Set<string>();
  readonly #contents = new Map<number, string>();
  readonly #copies = new Map<string, number>();

  recordSent(edit: SentEdit): void {
    this.#sent.push(edit);
  }

  recordRejected(editId: string): void {
    this.#rejected.add(editId);
    if (this.#accepted.has(editId)) {
      this.violations.push(`edit ${editId} was accepted, then rejected`);
    }
  }

  recordAccepted(
    edit: SentEdit,
    outcome: { version: number; atMs: number; hasTakenEffect: boolean },
  ): void {
    const { version, atMs, hasTakenEffect } = outcome;
    if (hasTakenEffect && edit.status === "out") {
      const accepted = { ...edit, version, answeredAtMs: atMs };
      this.#effectiveRemovals.push({ edit: accepted, fromMs: atMs });
    }
    const before = this.#accepted.get(edit.editId);
    if (before !== undefined) {
      this.#check(
        before.version === version,
        `edit ${edit.editId} changed its version`,
      );
      return;
    }
    this.#check(
      !this.#rejected.has(edit.editId),
      `edit ${edit.editId} was rejected, then accepted`,
    );
    const sentAtMs = this.#firstSentAtMs(edit);
    this.#checkOrder({ ...edit, sentAtMs, version, answeredAtMs: atMs });
  }

  /** A resent edit may have been made at any time since it was first sent. */
  #firstSentAtMs({ editId, sentAtMs }: SentEdit): number {
    const first = this.#sent.find((edit) => edit.editId === editId);
    return Math.min(sentAtMs, first?.sentAtMs ?? sentAtMs);
  }

  /** Checks an instance's copy; `runId` differs for each start of it. */
  recordCopy(runId: string, copy: { version: number; content: string }): void {
    const last = this.#copies.get(runId) ?? 0;
    this.#check(
      copy.version >= last,
      `the copy of ${runId} went back to an older version`,
    );
    this.#copies.set(runId, copy.version);
    const expected = this.#contents.get(copy.version) ?? copy.content;
    this.#check(
      expected === copy.content,
      `two documents have version ${copy.version}`,
    );
    this.#contents.set(copy.version, expected);
  }

  /** Checks each instance's version a while after all faults have ended. */
  checkFinalVersions(versions: ReadonlyMap<string, number>): void {
    const newest = Math.max(
      0,
      ...[...this.#accepted.values()].map(({ version }) => version),
    );
    for (const [id, version] of versions) {
      this.#check(
        version >= newest,
        `${id} has version ${version} after ${newest} was accepted`,
      );
    }
    this.#check(
      new Set(versions.values()).size === 1,
      "instances differ in version after all faults ended",
    );
  }

  /** The removals that were reported to have taken effect. */
  get removals(): readonly EffectiveRemoval[] {
    return this.#effectiveRemovals.flatMap(({ edit, fromMs }) =>
      edit.dataCentre === undefined ? [] : [{
        dataCentre: edit.dataCentre,
        fromMs,
        untilMs: this.#earliestReturnMs(edit),
      }]
    );
  }

  /** When the first edit that may put the data centre back in was sent. */
  #earliestReturnMs(removal: AcceptedEdit): number {
    const times = this.#sent
      .filter((edit) =>
        edit.dataCentre === removal.dataCentre && edit.status === "in" &&
        !this.#rejected.has(edit.editId) &&
        (this.#accepted.get(edit.editId)?.version ?? Infinity) >
          removal.version
      )
      .map((edit) => edit.sentAtMs);
    return Math.min(Infinity, ...times);
  }

  #checkOrder(edit: AcceptedEdit): void {
    for (const other of this.#accepted.values()) {
      const label = `${edit.editId} and ${other.editId}`;
      this.#check(other.version !== edit.version, `${label} share a version`);
      this.#check(
        other.section !== edit.section ||
          other.baseVersion !== edit.baseVersion,
        `${label} were both accepted from version ${edit.baseVersion}`,
      );
      this.#check(
        other.answeredAtMs >= edit.sentAtMs || other.version < edit.version,
        `${label} were accepted in an order that contradicts real time`,
      );
    }
    this.#accepted.set(edit.editId, edit);
  }

  #check(isTrue: boolean, text: string): void {
    if (!isTrue) {
      this.violations.push(text);
    }
  }
}
