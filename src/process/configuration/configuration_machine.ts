/**
 * The configuration as a replicated state machine: the document's sections
 * with their versions, the outcomes of recent edits, and the history.
 *
 * @module
 */

import type { Stream } from "most";
import { Channel } from "../../base/channel.ts";
import type { DataCentreId, TeamId } from "../../base/identity.ts";
import type { Result } from "../../base/sesame_error.ts";
import type { ConfigurationVersion } from "../../version/configuration_version.ts";
import {
  type Document,
  DOCUMENT_FORMAT_VERSION,
} from "../../version/document/document.ts";
import { EMPTY_DOCUMENT } from "../../version/document/document_change.ts";
import { parseDocument } from "../../version/document/parse_document.ts";
import {
  formatSectionId,
  SECTION_KINDS,
  type SectionId,
} from "../../version/document/section_id.ts";
import { joinSectionTexts } from "../../version/document/section_text.ts";
import type { StateMachine } from "../replication/replicated_log.ts";
import type {
  AcceptedOutcome,
  BootstrapCommand,
  ConfigurationCommand,
  ConfigurationOutcome,
  EditCommand,
  EditOutcome,
} from "./configuration_command.ts";
import {
  CONFIGURATION_LIMITS,
  type ConfigurationLimits,
  hasCapacity,
} from "./configuration_limits.ts";
import {
  type ConfigurationSnapshot,
  decodeSnapshot,
  encodeSnapshot,
  type HistoryEntry,
  SNAPSHOT_FORMAT_VERSION,
} from "./configuration_snapshot.ts";
import {
  type AcceptableEdit,
  type EditEvaluation,
  evaluateEdit,
  isKeyCurrent,
  refusalFromError,
  refuse,
} from "./edit_evaluation.ts";
import { digestEdit, RecentEdits, type RecordedEdit } from "./recent_edits.ts";
import { GroupTime } from "./group_time.ts";
import { RemovalLedger } from "./removal_ledger.ts";
import { SectionStore, type SectionText } from "./section_store.ts";
import { canonicalTexts, documentOf, sectionsOf } from "./snapshot_document.ts";

/** Represents all sections in the history entry of the initial document. */
export const WHOLE_DOCUMENT = "*";

/** How to build a {@link ConfigurationMachine}. */
export interface ConfigurationMachineOptions {
  /** Must be the same on every member. */
  readonly limits?: Partial<ConfigurationLimits>;
  /**
   * Evaluates edits; must be the same on every member.
   *
   * @internal
   */
  readonly evaluate?: typeof evaluateEdit;
}

/** The configuration's state on one member. */
export class ConfigurationMachine
  implements StateMachine<ConfigurationCommand, ConfigurationOutcome> {
  readonly #limits: ConfigurationLimits;
  readonly #evaluate: typeof evaluateEdit;
  readonly #changes = new Channel<ConfigurationVersion>();
  #current: ConfigurationVersion = {
    version: 0,
    document: EMPTY_DOCUMENT,
    acceptedAtMs: 0,
  };
  #sections = new SectionStore();
  #edits: RecentEdits;
  #history: HistoryEntry[] = [];
  #removals = new RemovalLedger();
  #time: GroupTime;

  constructor(options: ConfigurationMachineOptions = {}) {
    this.#limits = { ...CONFIGURATION_LIMITS, ...options.limits };
    this.#evaluate = options.evaluate ?? evaluateEdit;
    this.#edits = new RecentEdits({ limits: this.#limits });
    this.#time = new GroupTime({ stepLimitMs: this.#limits.clockStepLimitMs });
  }

  /** The version in force on this member. */
  get current(): ConfigurationVersion {
    return this.#current;
  }

  /**
   * Emits the current version when it changes, when a removal is confirmed
   * and when a snapshot is restored.
   */
  get changes(): Stream<ConfigurationVersion> {
    return this.#changes.stream;
  }

  get removals(): RemovalLedger {
    return this.#removals;
  }

  /** Accepted changes, oldest first. */
  get history(): readonly HistoryEntry[] {
    return this.#history;
  }

  /**
   * A section's text and version; undefined when it never existed or its
   * removal has been pruned.
   */
  section(sectionId: SectionId): SectionText | undefined {
    return this.#sections.current(formatSectionId(sectionId));
  }

  /** The whole document as TOML, joined from the stored section texts. */
  documentText(): string {
    const texts: string[] = [];
    for (const kind of SECTION_KINDS) {
      for (const name of Object.keys(this.#current.document[kind]).sort()) {
        texts.push(this.section({ kind, name })?.text ?? "");
      }
    }
    return joinSectionTexts(texts);
  }

  /** The record of an edit; undefined when there is none or it was pruned. */
  findEdit(editId: string): RecordedEdit | undefined {
    return this.#edits.get(editId);
  }

  /** Evaluates an edit without applying it. */
  preview(edit: EditCommand): EditEvaluation {
    return this.#evaluate(this.#context(), edit);
  }

  apply(command: ConfigurationCommand): ConfigurationOutcome {
    if (this.#time.advance(command.atMs)) {
      this.#prune();
    }
    switch (command.kind) {
      case "bootstrap":
        return this.#bootstrap(command);
      case "edit":
        return this.#edit(command);
      case "confirmRemoval":
        return this.#confirmRemoval(command.dataCentre, command.version);
    }
  }

  snapshot(): Uint8Array {
    return encodeSnapshot({
      formatVersion: SNAPSHOT_FORMAT_VERSION,
      documentFormatVersion: DOCUMENT_FORMAT_VERSION,
      version: this.#current.version,
      acceptedAtMs: this.#current.acceptedAtMs,
      ...this.#time.state,
      sections: this.#sections.listCurrent(),
      replaced: this.#sections.listReplaced(),
      edits: this.#edits.list(),
      history: this.#history,
      removals: this.#removals.removals(),
      permissions: [...this.#removals.permissions()],
    });
  }

  restore(snapshot: Uint8Array): Result<void> {
    return decodeSnapshot(snapshot).chain((state) =>
      documentOf(state).map((document) => this.#replaceAll(state, document))
    );
  }

  close(): void {
    this.#changes.close();
  }

  #replaceAll(state: ConfigurationSnapshot, document: Document): void {
    const { version, acceptedAtMs } = state;
    this.#sections = new SectionStore({
      current: sectionsOf(state),
      replaced: state.replaced,
    });
    this.#edits = new RecentEdits({
      limits: this.#limits,
      edits: state.edits,
    });
    this.#history = [...state.history];
    this.#removals = new RemovalLedger(state);
    this.#time = new GroupTime({
      stepLimitMs: this.#limits.clockStepLimitMs,
      state,
    });
    this.#current = { version, document, acceptedAtMs };
    this.#changes.push(this.#current);
  }

  #bootstrap(command: BootstrapCommand): ConfigurationOutcome {
    if (this.#current.version > 0) {
      return { kind: "ignored" };
    }
    return parseDocument(command.text).caseOf<ConfigurationOutcome>({
      Left: (error) => refusalFromError(error, undefined),
      Right: (document) => {
        const { atMs } = command;
        for (const entry of canonicalTexts(command.text)) {
          const atMs = this.#time.nowMs;
          this.#sections.put({ ...entry, version: 1, atMs }, WHOLE_DOCUMENT);
        }
        return this.#install(document, {
          section: WHOLE_DOCUMENT,
          change: "bootstrap",
          editId: null,
          team: null,
          baseVersion: 0,
          atMs,
        });
      },
    });
  }

  #edit(edit: EditCommand): ConfigurationOutcome {
    const recorded = this.#edits.get(edit.editId);
    if (recorded !== undefined) {
      return this.#repeatOutcome(recorded, edit);
    }
    const refusal = this.#refuseUnrecorded(edit);
    if (refusal !== undefined) {
      return refusal;
    }
    const evaluation = this.#evaluate(this.#context(), edit);
    const outcome = evaluation.kind === "acceptable"
      ? this.#accept(edit, evaluation)
      : evaluation;
    this.#record(edit, outcome);
    return outcome;
  }

  #repeatOutcome(recorded: RecordedEdit, edit: EditCommand): EditOutcome {
    if (recorded.digest !== digestEdit(edit)) {
      return refuse(edit.sectionId, {
        error: "identityReused",
        detail: `the edit ID ${edit.editId} was already used for another edit`,
      });
    }
    return this.outcomeOf(recorded);
  }

  /** The full outcome of a recorded edit, with a conflict's text restored. */
  outcomeOf(recorded: RecordedEdit): EditOutcome {
    if (recorded.outcome.kind !== "conflict") {
      return recorded.outcome;
    }
    const { currentVersion } = recorded.outcome;
    const currentText = this.#sections.textAt(recorded.section, currentVersion);
    return { kind: "conflict", currentVersion, currentText };
  }

  /** Refusals that aren't recorded, so that a retry of the edit may succeed. */
  #refuseUnrecorded(edit: EditCommand): EditOutcome | undefined {
    const { sectionId } = edit;
    if (!isKeyCurrent(this.#current.document, edit)) {
      return refuse(sectionId, {
        error: "unauthenticated",
        detail: "the key is no longer one of the team's",
      });
    }
    const canRecord = this.#edits.hasCapacityFor(edit.team) &&
      this.#hasReplacedTextCapacity(edit.team);
    return canRecord ? undefined : refuse(sectionId, {
      error: "overloaded",
      detail: "too many edits in a day; no more can be recorded now",
    });
  }

  #hasReplacedTextCapacity(team: TeamId): boolean {
    const own = this.#sections.replacedBytesOf(team);
    return hasCapacity({ own, total: this.#sections.replacedBytes }, {
      limit: this.#limits.replacedBytesLimit,
      perTeamLimit: this.#limits.replacedBytesPerTeamLimit,
      perTeamReserve: this.#limits.replacedBytesPerTeamReserve,
    });
  }

  #accept(edit: EditCommand, acceptable: AcceptableEdit): AcceptedOutcome {
    const section = formatSectionId(edit.sectionId);
    const version = this.#current.version + 1;
    const { text } = acceptable;
    const atMs = this.#time.nowMs;
    this.#sections.put({ section, version, text, atMs }, edit.team);
    return this.#install(acceptable.document, {
      section,
      change: edit.change.kind,
      editId: edit.editId,
      team: edit.team,
      baseVersion: edit.baseVersion,
      atMs: edit.atMs,
    });
  }

  #install(
    document: Document,
    historyEntry: Omit<HistoryEntry, "version">,
  ): AcceptedOutcome {
    const before = this.#current.document;
    const version = this.#current.version + 1;
    const { atMs } = historyEntry;
    this.#removals.record({
      before,
      after: document,
      version,
      atMs: this.#time.nowMs,
    });
    this.#history.push({ version, ...historyEntry });
    this.#current = { version, document, acceptedAtMs: atMs };
    this.#changes.push(this.#current);
    const removal = this.#removals.removals().find((entry) =>
      formatSectionId({ kind: "dataCentres", name: entry.dataCentre }) ===
        historyEntry.section
    );
    const removedDataCentre = removal?.dataCentre ?? null;
    return { kind: "accepted", version, atMs, removedDataCentre };
  }

  #record(edit: EditCommand, outcome: EditOutcome): void {
    this.#edits.add({
      editId: edit.editId,
      team: edit.team,
      section: formatSectionId(edit.sectionId),
      digest: digestEdit(edit),
      outcome: outcome.kind === "conflict"
        ? { kind: "conflict", currentVersion: outcome.currentVersion }
        : outcome,
      atMs: this.#time.nowMs,
    });
  }

  #confirmRemoval(
    dataCentre: DataCentreId,
    version: number,
  ): ConfigurationOutcome {
    if (!this.#removals.confirm(dataCentre, version)) {
      return { kind: "ignored" };
    }
    this.#changes.push(this.#current);
    const { acceptedAtMs } = this.#current;
    return {
      kind: "accepted",
      version,
      atMs: acceptedAtMs,
      removedDataCentre: dataCentre,
    };
  }

  #context() {
    return {
      document: this.#current.document,
      sections: this.#sections,
      removals: this.#removals.removals(),
      documentBytesLimit: this.#limits.documentBytesLimit,
    };
  }

  #prune(): void {
    const { nowMs } = this.#time;
    this.#edits.prune(nowMs);
    this.#sections.prune(nowMs - this.#limits.editRetentionMs);
    const { historyRetentionMs, historyLimit } = this.#limits;
    const beforeMs = nowMs - historyRetentionMs;
    this.#history = this.#history.filter((entry) => entry.atMs >= beforeMs)
      .slice(-historyLimit);
  }
}
