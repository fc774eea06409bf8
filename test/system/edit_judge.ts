/**
 * Judges operators' edits: they are linearizable, resent ones have the same
 * end, and no instance's copy goes back or differs from another's.
 *
 * @module
 */

import type { SystemDataCentre } from "./system_document.ts";

/** One edit as its operator saw it. */
export interface SeenEdit {
  readonly editId: string;
  readonly section: string;
  readonly baseVersion: number;
  readonly sentAtMs: number;
  /** Set when it takes a data centre out or puts it in. */
  readonly dataCentre?: SystemDataCentre;
  readonly status?: "in" | "out";
}

/** An edit that came back as accepted. */
interface AcceptedEdit extends SeenEdit {
  readonly version: number;
  readonly answeredAtMs: number;
}

/** A removal said to hold, and what may have ended it. */
export interface HeldRemoval {
  readonly dataCentre: SystemDataCentre;
  readonly fromMs: number;
  /** When the data centre may have been put back in, at the earliest. */
  readonly untilMs: number;
}

/** Judges edits. */
export class EditJudge {
  readonly violations: string[] = [];
  readonly #accepted = new Map<string, AcceptedEdit>();
  readonly #sent: SeenEdit[] = [];
  readonly #held: { edit: AcceptedEdit; fromMs: number }[] = [];
  readonly #rejected = new Set<string>();
  readonly #contents = new Map<number, string>();
  readonly #copies = new Map<string, number>();

  noteSent(edit: SeenEdit): void {
    this.#sent.push(edit);
  }

  noteRejected(editId: string): void {
    this.#rejected.add(editId);
    if (this.#accepted.has(editId)) {
      this.violations.push(`edit ${editId} was accepted, then rejected`);
    }
  }

  noteAccepted(
    edit: SeenEdit,
    seen: { version: number; atMs: number; isInForce: boolean },
  ): void {
    const { version, atMs, isInForce } = seen;
    if (isInForce && edit.status === "out") {
      const accepted = { ...edit, version, answeredAtMs: atMs };
      this.#held.push({ edit: accepted, fromMs: atMs });
    }
    const before = this.#accepted.get(edit.editId);
    if (before !== undefined) {
      this.#check(before.version === version, `edit ${edit.editId} moved`);
      return;
    }
    this.#check(
      !this.#rejected.has(edit.editId),
      `edit ${edit.editId} was rejected, then accepted`,
    );
    const sentAtMs = this.#firstSentAtMs(edit);
    this.#judgeOrder({ ...edit, sentAtMs, version, answeredAtMs: atMs });
  }

  /** An edit sent again may have been made since its first sending. */
  #firstSentAtMs({ editId, sentAtMs }: SeenEdit): number {
    const first = this.#sent.find((edit) => edit.editId === editId);
    return Math.min(sentAtMs, first?.sentAtMs ?? sentAtMs);
  }

  /** A running instance's copy; `run` differs for each start of it. */
  noteCopy(run: string, copy: { version: number; content: string }): void {
    const last = this.#copies.get(run) ?? 0;
    this.#check(copy.version >= last, `the copy of ${run} went back`);
    this.#copies.set(run, copy.version);
    const known = this.#contents.get(copy.version) ?? copy.content;
    this.#check(
      known === copy.content,
      `two documents have version ${copy.version}`,
    );
    this.#contents.set(copy.version, known);
  }

  /** Each instance's version after all faults ended and time went by. */
  noteEnd(versions: ReadonlyMap<string, number>): void {
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

  /** The removals that were said to hold. */
  get removals(): readonly HeldRemoval[] {
    return this.#held.flatMap(({ edit, fromMs }) =>
      edit.dataCentre === undefined ? [] : [{
        dataCentre: edit.dataCentre,
        fromMs,
        untilMs: this.#returnAfter(edit),
      }]
    );
  }

  /** The first moment at which an edit that puts it back in was sent. */
  #returnAfter(removal: AcceptedEdit): number {
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

  #judgeOrder(edit: AcceptedEdit): void {
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
        `${label} were accepted against the order in time`,
      );
    }
    this.#accepted.set(edit.editId, edit);
  }

  #check(holds: boolean, text: string): void {
    if (!holds) {
      this.violations.push(text);
    }
  }
}
