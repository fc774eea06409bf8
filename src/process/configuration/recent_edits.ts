/**
 * Records the outcomes of recent edits, so that a resent edit gets the same
 * outcome as the first time.
 *
 * @module
 */

import { createHash } from "node:crypto";
import type { TeamId } from "../../base/identity.ts";
import { formatSectionId } from "../../version/document/section_id.ts";
import type {
  AcceptedOutcome,
  EditCommand,
  RefusedOutcome,
} from "./configuration_command.ts";
import {
  type ConfigurationLimits,
  hasCapacity,
} from "./configuration_limits.ts";

/** A recorded outcome; the text of a conflict is looked up when needed. */
export type RecordedOutcome =
  | AcceptedOutcome
  | RefusedOutcome
  | { readonly kind: "conflict"; readonly currentVersion: number };

/** One edit and its outcome. */
export interface RecordedEdit {
  readonly editId: string;
  readonly team: TeamId;
  /** `kind.name` of the section. */
  readonly section: string;
  /** Digest of the edit's content; see {@link digestEdit}. */
  readonly digest: string;
  readonly outcome: RecordedOutcome;
  /** When it was applied, in group time. */
  readonly atMs: number;
}

/** Edits within the retention period, oldest first. */
export class RecentEdits {
  readonly #limits: ConfigurationLimits;
  readonly #edits = new Map<string, RecordedEdit>();
  readonly #countByTeam = new Map<TeamId, number>();

  constructor(options: {
    limits: ConfigurationLimits;
    edits?: readonly RecordedEdit[];
  }) {
    this.#limits = options.limits;
    for (const edit of options.edits ?? []) {
      this.add(edit);
    }
  }

  get(editId: string): RecordedEdit | undefined {
    return this.#edits.get(editId);
  }

  /** Whether one more edit of the team may be recorded. */
  hasCapacityFor(team: TeamId): boolean {
    const own = this.#countByTeam.get(team) ?? 0;
    return hasCapacity({ own, total: this.#edits.size }, {
      limit: this.#limits.editsLimit,
      perTeamLimit: this.#limits.editsPerTeamLimit,
      perTeamReserve: this.#limits.editsPerTeamReserve,
    });
  }

  add(edit: RecordedEdit): void {
    this.#edits.set(edit.editId, edit);
    this.#count(edit.team, 1);
  }

  /** Drops edits that are older than the retention period. */
  prune(nowMs: number): void {
    const beforeMs = nowMs - this.#limits.editRetentionMs;
    for (const edit of this.#edits.values()) {
      if (edit.atMs >= beforeMs) {
        return;
      }
      this.#edits.delete(edit.editId);
      this.#count(edit.team, -1);
    }
  }

  list(): RecordedEdit[] {
    return [...this.#edits.values()];
  }

  #count(team: TeamId, change: number): void {
    const count = (this.#countByTeam.get(team) ?? 0) + change;
    if (count === 0) {
      this.#countByTeam.delete(team);
    } else {
      this.#countByTeam.set(team, count);
    }
  }
}

/**
 * A digest of an edit's content. Its time and key are left out: they may
 * differ in a resent copy.
 */
export function digestEdit(edit: EditCommand): string {
  const content = [
    edit.team,
    formatSectionId(edit.sectionId),
    edit.baseVersion,
    edit.change.kind,
    edit.change.kind === "replace" ? edit.change.text : null,
  ];
  return createHash("sha256").update(JSON.stringify(content)).digest("base64");
}
