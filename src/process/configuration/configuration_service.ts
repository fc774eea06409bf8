/**
 * The configuration of one instance: its verified copy, edits through the
 * replicated log, and what is in force where.
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
  type PlacedInstance,
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
  /** All instances of the system, this one among them. */
  readonly instances: readonly PlacedInstance[];
  readonly keys?: KeyVerifier;
  /** How long an edit may take to be durable on a majority. */
  readonly proposeTimeoutMs?: number;
  /** How long the answer to a removal waits for it to hold. */
  readonly removalWaitMs?: number;
}

/** The time limits of the product. */
export const CONFIGURATION_SERVICE_DEFAULTS = {
  proposeTimeoutMs: 8_000,
  removalWaitMs: 1_500,
} as const;

/** An edit as a team sends it in. */
export type EditRequest = Omit<EditCommand, "kind" | "atMs">;

/** An edit's end, and for an accepted one where it stands. */
export type EditReport =
  | { readonly outcome: AcceptedOutcome; readonly standing: EditState }
  | {
    readonly outcome: Exclude<EditOutcome, AcceptedOutcome>;
    readonly standing: undefined;
  };

/** What is remembered of an edit. */
export type EditFate = EditReport & {
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
  #seenVersion = 0;

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
      next: (version) => this.#take(version),
      error: () => undefined,
      complete: () => undefined,
    });
    this.#take(machine.current);
  }

  /** Versions as they come into force here, each once. */
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
   * To be called by the runtime of the scheduler leader of `dataCentre`,
   * while its lease holds, once it has carried out the removal: it decides
   * under `version` or a later one, and no start under an older one is under
   * way. Calling it again has no effect.
   */
  acknowledgeRemoval(dataCentre: DataCentreId, version: number): void {
    this.#inForce.acknowledge(dataCentre, version);
  }

  /** Offers the first document; it counts only where there is none yet. */
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

  /** Makes an edit; the result is an error when its fate isn't known. */
  async edit(request: EditRequest): Promise<Result<EditReport>> {
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
      return result.map<EditReport>(neverReached);
    }
    const outcome = result.extract() as EditOutcome;
    return Right(await this.#report(outcome));
  }

  /** What an edit would come to, and whether that was judged up to date. */
  async preview(
    request: EditRequest,
  ): Promise<{ evaluation: EditEvaluation; isCurrent: boolean }> {
    const isCurrent = await this.catchUp();
    const atMs = this.#options.clock.nowMs();
    const evaluation = this.machine.preview({ kind: "edit", ...request, atMs });
    return { evaluation, isCurrent };
  }

  /** Waits for all that was committed before; false when it can't be known. */
  async catchUp(): Promise<boolean> {
    const deadlineMs = this.#options.clock.nowMs() +
      this.#options.proposeTimeoutMs;
    const barrier = await this.#options.log.readBarrier({ deadlineMs });
    return barrier.isRight();
  }

  /**
   * How an edit ended. `notFound` says that it isn't part of the document and
   * isn't remembered; `unavailable` that this can't be known now.
   */
  async editFate(editId: string): Promise<Result<EditFate>> {
    const isCurrent = await this.catchUp();
    const kept = this.machine.findEdit(editId);
    if (kept === undefined) {
      return isCurrent
        ? failure("notFound", { detail: "no such edit is remembered" })
        : failure("unavailable", {
          detail: "whether there is such an edit can't be known now",
        });
    }
    const outcome = this.machine.outcomeOf(kept);
    const report = this.#standing(outcome);
    return Right({ ...report, team: kept.team, section: kept.section });
  }

  close(): void {
    this.#subscription.unsubscribe();
    this.#confirmer.close();
    this.#inForce.close();
    this.#versions.close();
  }

  #take(version: ConfigurationVersion): void {
    if (version.version <= this.#seenVersion) {
      return;
    }
    this.#seenVersion = version.version;
    this.#inForce.setVersion(version.version);
    this.#options.events.emit("configurationInForce", {
      version: version.version,
    });
    this.#versions.push(version);
  }

  async #report(outcome: EditOutcome): Promise<EditReport> {
    if (outcome.kind !== "accepted" || outcome.removedDataCentre === null) {
      return this.#standing(outcome);
    }
    const { version, removedDataCentre: dataCentre } = outcome;
    this.#confirmer.watch(dataCentre);
    const untilMs = this.#options.clock.nowMs() + this.#options.removalWaitMs;
    await waitUntil(() => this.#isSettled(outcome), {
      clock: this.#options.clock,
      changes: this.machine.changes,
      deadlineMs: untilMs,
    });
    const report = this.#standing(outcome);
    if (report.standing?.state === "pending") {
      const holdsByMs = report.standing.holdsByMs ?? undefined;
      const fields = { dataCentre, version, holdsByMs };
      this.#options.events.emit("removalPending", fields);
    }
    return report;
  }

  #isSettled(outcome: AcceptedOutcome): boolean {
    return this.current().version >= outcome.version &&
      this.#standing(outcome).standing?.state !== "pending";
  }

  /** While this copy lags behind the edit, nothing is claimed of it. */
  #standing(outcome: EditOutcome): EditReport {
    if (outcome.kind !== "accepted") {
      return { outcome, standing: undefined };
    }
    const { version, removedDataCentre: dataCentre } = outcome;
    if (dataCentre !== null && this.current().version < version) {
      const standing = { version, dataCentre, holdsByMs: null };
      return { outcome, standing: { state: "pending", ...standing } };
    }
    const { removals } = this.machine;
    const holdsByMs = (id: DataCentreId) => this.#holdsByMs(id);
    return { outcome, standing: editStateOf(outcome, { removals, holdsByMs }) };
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

/** Faults that are in the text itself, whatever the document says. */
function findMalformed(request: EditRequest): SesameError | undefined {
  if (request.change.kind === "remove") {
    return undefined;
  }
  return parseSection(request.sectionId, request.change.text).swap().toMaybe()
    .extractNullable() ?? undefined;
}

function neverReached(): never {
  throw new SesameError("internal");
}
