/**
 * Remembers how each edit ended, so that a resent one gets its first answer.
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
import { type ConfigurationLimits, hasRoom } from "./configuration_limits.ts";

/** An outcome as kept: the text of a conflict is looked up again. */
export type KeptOutcome =
  | AcceptedOutcome
  | RefusedOutcome
  | { readonly kind: "conflict"; readonly currentVersion: number };

/** One edit and its end. */
export interface KeptEdit {
  readonly editId: string;
  readonly team: TeamId;
  /** `kind.name` of the section. */
  readonly section: string;
  /** Of all that makes the edit what it is. */
  readonly digest: string;
  readonly outcome: KeptOutcome;
  /** By the group's time. */
  readonly atMs: number;
}

/** The edits of the last while, oldest first. */
export class EditMemory {
  readonly #limits: ConfigurationLimits;
  readonly #edits = new Map<string, KeptEdit>();
  readonly #countByTeam = new Map<TeamId, number>();

  constructor(options: {
    limits: ConfigurationLimits;
    edits?: readonly KeptEdit[];
  }) {
    this.#limits = options.limits;
    for (const edit of options.edits ?? []) {
      this.add(edit);
    }
  }

  get(editId: string): KeptEdit | undefined {
    return this.#edits.get(editId);
  }

  /** Whether one more edit of the team may be kept. */
  hasRoom(team: TeamId): boolean {
    const own = this.#countByTeam.get(team) ?? 0;
    return hasRoom({ own, total: this.#edits.size }, {
      limit: this.#limits.editsLimit,
      perTeamLimit: this.#limits.editsPerTeamLimit,
      perTeamReserve: this.#limits.editsPerTeamReserve,
    });
  }

  add(edit: KeptEdit): void {
    this.#edits.set(edit.editId, edit);
    this.#count(edit.team, 1);
  }

  /** Forgets the edits that are older than the retention. */
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

  list(): KeptEdit[] {
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

/** The digest of an edit's content; its time and key are no part of it. */
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
