/**
 * The configuration of one instance: its copy, edits through the replicated
 * log, and the versions in force on all instances.
 *
 * @module
 */

import type { Stream, Subscription } from "most";
import { Right } from "purify-ts/Either";
import { Channel } from "../../base/channel.ts";
import type { Clock } from "../../base/clock.ts";
import type { EventLog } from "../../base/event_log.ts";
import type { DataCentreId, TeamId } from "../../base/identity.ts";
import { failure, type Result, SesameError } from "../../base/sesame_error.ts";
import type { PeerNetwork } from "../../connection/peer_network.ts";
import type { ConfigurationVersion } from "../../version/configuration_version.ts";
import {
  parseDocument,
  parseSection,
} from "../../version/document/parse_document.ts";
import { formatSectionId } from "../../version/document/section_id.ts";
import type { HttpEndpoint } from "../http/http_endpoint.ts";
import type {
  AcceptedOutcome,
  ConfigurationOutcome,
  EditCommand,
  EditOutcome,
} from "./configuration_command.ts";
import { configurationEndpoints } from "./configuration_endpoints.ts";
import type { ConfigurationMachine } from "./configuration_machine.ts";
import type { ConfigurationSource } from "./configuration_source.ts";
import type { EditEvaluation } from "./edit_evaluation.ts";
import { type EditState, editStateOf } from "./edit_state.ts";
import { InForceTracker } from "./in_force_tracker.ts";
import {
  KeyVerifier,
  type PresentedKey,
  type VerifiedKey,
} from "./key_verifier.ts";
import {
  type ConfigurationLog,
  type InstanceLocation,
  RemovalConfirmer,
} from "./removal_confirmer.ts";
import { waitUntil } from "./wait_until.ts";

/** How to build a {@link ConfigurationService}. */
export interface ConfigurationServiceOptions {
  /** The machine that `log` applies its commands to. */
  readonly machine: ConfigurationMachine;
  readonly log: ConfigurationLog;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly events: EventLog;
  /** All instances of the system, including this one. */
  readonly instances: readonly InstanceLocation[];
  readonly keys?: KeyVerifier;
  /** How long to wait until an edit is durable on a majority. */
  readonly proposeTimeoutMs?: number;
  /** How long the answer to a removal waits for it to take effect. */
  readonly removalWaitMs?: number;
}

/** Default time limits. */
export const CONFIGURATION_SERVICE_DEFAULTS = {
  proposeTimeoutMs: 8_000,
  removalWaitMs: 1_500,
} as const;

/** An edit as submitted by a team. */
export type EditRequest = Omit<EditCommand, "kind" | "atMs">;

/** The outcome of an edit and, for an accepted one, its current state. */
export type EditResult =
  | { readonly outcome: AcceptedOutcome; readonly editState: EditState }
  | {
    readonly outcome: Exclude<EditOutcome, AcceptedOutcome>;
    readonly editState: undefined;
  };

/** The result of a recorded edit. */
export type RecordedEditResult = EditResult & {
  readonly team: TeamId;
  readonly section: string;
};

/** The configuration of one instance. */
export class ConfigurationService implements ConfigurationSource {
  readonly #options: Required<ConfigurationServiceOptions>;
  readonly #versions = new Channel<ConfigurationVersion>();
  readonly #subscription: Subscription<unknown>;
  readonly #inForce: InForceTracker;
  readonly #confirmer: RemovalConfirmer;
  #latestVersion = 0;

  constructor(options: ConfigurationServiceOptions) {
    const { clock, network, machine } = options;
    const keys = options.keys ?? new KeyVerifier({ clock });
    this.#options = { ...CONFIGURATION_SERVICE_DEFAULTS, ...options, keys };
    this.#inForce = new InForceTracker({ clock, network });
    this.#confirmer = new RemovalConfirmer({
      ...options,
      inForce: this.#inForce,
    });
    this.#subscription = machine.changes.subscribe({
      next: (version) => this.#onVersion(version),
      error: () => undefined,
      complete: () => undefined,
    });
    this.#onVersion(machine.current);
  }

  /** Emits each version once, when it comes into force here. */
  get versions(): Stream<ConfigurationVersion> {
    return this.#versions.stream;
  }

  get machine(): ConfigurationMachine {
    return this.#options.machine;
  }

  get inForce(): InForceTracker {
    return this.#inForce;
  }

  current(): ConfigurationVersion {
    return this.machine.current;
  }

  currentAtMs(): number {
    return this.#options.log.status().currentAtMs;
  }

  /** The HTTP endpoints under `/v1/configuration`. */
  endpoints(): HttpEndpoint[] {
    return configurationEndpoints(this);
  }

  /**
   * The runtime of the scheduler leader of `dataCentre` calls this while its
   * lease is valid, once it has carried out the removal: it schedules under
   * `version` or a later one, and no start order from an older version is in
   * flight. Idempotent.
   */
  acknowledgeRemoval(dataCentre: DataCentreId, version: number): void {
    this.#inForce.acknowledge(dataCentre, version);
  }

  /** Proposes the initial document; ignored if there is one already. */
  async bootstrap(text: string): Promise<Result<ConfigurationOutcome>> {
    const parsed = parseDocument(text);
    if (parsed.isLeft()) {
      const error = parsed.extract() as SesameError;
      this.#options.events.emit("bootstrapRefused", {
        section: error.location,
        detail: error.message,
      });
      return parsed.map<ConfigurationOutcome>(() => ({ kind: "ignored" }));
    }
    const atMs = this.#options.clock.nowMs();
    return await this.#options.log.propose(
      { kind: "bootstrap", text, atMs },
      { deadlineMs: atMs + this.#options.proposeTimeoutMs },
    );
  }

  /** Verifies a team's key against this instance's copy. */
  async authenticate(presented: PresentedKey): Promise<Result<VerifiedKey>> {
    const { teams } = this.current().document;
    const { team } = presented;
    const section = Object.hasOwn(teams, team) ? teams[team] : undefined;
    const result = await this.#options.keys.verify(presented, section);
    result.ifLeft((error) => {
      const isKnown = section !== undefined;
      this.#options.events.emit("keyRejected", {
        team: isKnown ? team : "unknown",
        error: error.kind,
      });
    });
    return result;
  }

  /**
   * Submits an edit. Fails if it is malformed, was not committed, or may still
   * be committed (`outcomeUnknown`).
   */
  async edit(request: EditRequest): Promise<Result<EditResult>> {
    const malformed = findMalformed(request);
    if (malformed !== undefined) {
      return failure(malformed.kind, {
        detail: malformed.message,
        ...(malformed.location ? { location: malformed.location } : {}),
        facts: malformed.facts,
      });
    }
    const atMs = this.#options.clock.nowMs();
    const result = await this.#options.log.propose(
      { kind: "edit", ...request, atMs },
      { deadlineMs: atMs + this.#options.proposeTimeoutMs },
    );
    this.#logEdit(request, result);
    if (result.isLeft()) {
      return result.map<EditResult>(unreachable);
    }
    const outcome = result.extract() as EditOutcome;
    return Right(await this.#resultAfterRemovalWait(outcome));
  }

  /**
   * Evaluates an edit without making it. `isCurrent` tells whether this copy
   * was brought up to date first.
   */
  async preview(
    request: EditRequest,
  ): Promise<{ evaluation: EditEvaluation; isCurrent: boolean }> {
    const isCurrent = await this.catchUp();
    const atMs = this.#options.clock.nowMs();
    const evaluation = this.machine.preview({ kind: "edit", ...request, atMs });
    return { evaluation, isCurrent };
  }

  /** Waits until this copy has applied all commits so far; false on failure. */
  async catchUp(): Promise<boolean> {
    const deadlineMs = this.#options.clock.nowMs() +
      this.#options.proposeTimeoutMs;
    const barrier = await this.#options.log.readBarrier({ deadlineMs });
    return barrier.isRight();
  }

  /**
   * The outcome and state of a recent edit. `notFound` when no such edit is
   * recorded; `unavailable` when there is none in this copy, which can't be
   * brought up to date now.
   */
  async readEdit(editId: string): Promise<Result<RecordedEditResult>> {
    const isCurrent = await this.catchUp();
    const recorded = this.machine.findEdit(editId);
    if (recorded === undefined) {
      return isCurrent
        ? failure("notFound", { detail: "no such edit is recorded" })
        : failure("unavailable", {
          detail: "it can't be determined now whether there is such an edit",
        });
    }
    const outcome = this.machine.outcomeOf(recorded);
    const result = this.#resultOf(outcome);
    return Right({ ...result, team: recorded.team, section: recorded.section });
  }

  close(): void {
    this.#subscription.unsubscribe();
    this.#confirmer.close();
    this.#inForce.close();
    this.#versions.close();
  }

  #onVersion(version: ConfigurationVersion): void {
    if (version.version <= this.#latestVersion) {
      return;
    }
    this.#latestVersion = version.version;
    this.#inForce.setVersion(version.version);
    this.#options.events.emit("configurationInForce", {
      version: version.version,
    });
    this.#versions.push(version);
  }

  async #resultAfterRemovalWait(outcome: EditOutcome): Promise<EditResult> {
    if (outcome.kind !== "accepted" || outcome.removedDataCentre === null) {
      return this.#resultOf(outcome);
    }
    const { version, removedDataCentre: dataCentre } = outcome;
    this.#confirmer.track(dataCentre);
    const untilMs = this.#options.clock.nowMs() + this.#options.removalWaitMs;
    await waitUntil(() => this.#isSettled(outcome), {
      clock: this.#options.clock,
      changes: this.machine.changes,
      deadlineMs: untilMs,
    });
    const result = this.#resultOf(outcome);
    if (result.editState?.state === "pending") {
      const holdsByMs = result.editState.holdsByMs ?? undefined;
      const fields = { dataCentre, version, holdsByMs };
      this.#options.events.emit("removalPending", fields);
    }
    return result;
  }

  #isSettled(outcome: AcceptedOutcome): boolean {
    return this.current().version >= outcome.version &&
      this.#resultOf(outcome).editState?.state !== "pending";
  }

  /** Reports a removal as pending while this copy is older than the edit. */
  #resultOf(outcome: EditOutcome): EditResult {
    if (outcome.kind !== "accepted") {
      return { outcome, editState: undefined };
    }
    const { version, removedDataCentre: dataCentre } = outcome;
    if (dataCentre !== null && this.current().version < version) {
      const pending = { version, dataCentre, holdsByMs: null };
      return { outcome, editState: { state: "pending", ...pending } };
    }
    const { removals } = this.machine;
    const holdsByMs = (id: DataCentreId) => this.#holdsByMs(id);
    return {
      outcome,
      editState: editStateOf(outcome, { removals, holdsByMs }),
    };
  }

  #holdsByMs(dataCentre: DataCentreId): number | null {
    const removal = this.machine.removals.removal(dataCentre);
    return removal === undefined ? null : this.#confirmer.holdsByMs(removal);
  }

  #logEdit(request: EditRequest, result: Result<ConfigurationOutcome>): void {
    const { editId, team, sectionId } = request;
    const section = formatSectionId(sectionId);
    const fields = { editId, team, section };
    const { events } = this.#options;
    result.caseOf({
      Left: (error) =>
        events.emit("editUnresolved", { ...fields, error: error.kind }),
      Right: (outcome) => {
        if (outcome.kind === "accepted") {
          const { version } = outcome;
          events.emit("editAccepted", { ...fields, version });
        } else {
          const error = outcome.kind === "refused" ? outcome.error : "conflict";
          events.emit("editRejected", { ...fields, error });
        }
      },
    });
  }
}

/** The fault in the section's text, if any, regardless of the document. */
function findMalformed(request: EditRequest): SesameError | undefined {
  if (request.change.kind === "remove") {
    return undefined;
  }
  return parseSection(request.sectionId, request.change.text).swap().toMaybe()
    .extractNullable() ?? undefined;
}

/** Maps a result that is known to be an error; never called. */
function unreachable(): never {
  throw new SesameError("internal");
}
