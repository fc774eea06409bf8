/**
 * The claim on one non-idempotent request in its home's ledger: acquired before
 * any byte is sent, ended or released once the final outcome is known.
 *
 * @module
 */

import { createHash } from "node:crypto";
import type { Clock } from "../../base/clock.ts";
import type { DataCentreId } from "../../base/identity.ts";
import { failure, type Result } from "../../base/sesame_error.ts";
import type { RequestRecord } from "../../request/request_record.ts";
import type {
  Ledger,
  LedgerCommand,
  LedgerReply,
  RecordedOutcome,
} from "../ledger/mod.ts";
import type { FinalOutcome } from "./routed_call.ts";

/** Options of a {@link RequestClaim}. */
export interface RequestClaimOptions {
  readonly ledger: Pick<Ledger, "execute">;
  readonly clock: Clock;
  readonly record: RequestRecord;
  readonly home: DataCentreId;
  /** Unique over all instances and their restarts. */
  readonly claimant: string;
  readonly retentionMs: number;
}

/** First wait before a claim held by another call is retried; it doubles. */
const RETRY_DELAY_MS = 10;
/** Limit of that wait; also the wait before recording an outcome is retried. */
const RETRY_DELAY_LIMIT_MS = 200;

/** How long the recording of an outcome is retried. */
const RECORD_TIMEOUT_MS = 10_000;
/** Timeout of each try to record it. */
const RECORD_TRY_TIMEOUT_MS = 2_000;

/** The claim of one call. */
export class RequestClaim {
  readonly #options: RequestClaimOptions;
  readonly #key: string;
  readonly #digest: string;

  constructor(options: RequestClaimOptions) {
    const { record } = options;
    this.#options = options;
    this.#key = `${record.clientAccount ?? ""}/${record.requestId}`;
    this.#digest = digestOf(record);
  }

  /**
   * Requests the claim, and again while another call holds it, until the
   * request's deadline. `held` means that the other hadn't ended by then.
   */
  async acquire(): Promise<Result<LedgerReply>> {
    const { clock, record } = this.#options;
    let waitMs = RETRY_DELAY_MS;
    for (;;) {
      const result = await this.#execute(this.#claimCommand());
      const isHeld = result.map(({ kind }) => kind === "held").orDefault(false);
      const leftMs = record.deadlineMs - clock.nowMs();
      if (!isHeld || leftMs <= waitMs) {
        return result;
      }
      const pauseMs = waitMs;
      await new Promise<void>((resolve) => clock.after(pauseMs, resolve));
      waitMs = Math.min(RETRY_DELAY_LIMIT_MS, waitMs * 2);
    }
  }

  /** Looks the request up in the ledger without claiming it. */
  lookUp(): Promise<Result<LedgerReply>> {
    const { ledger, home, record } = this.#options;
    const { deadlineMs } = record;
    return ledger.execute({
      kind: "find",
      key: this.#key,
      digest: this.#digest,
    }, { home, deadlineMs });
  }

  /** Records the outcome; releases the claim when nothing was run. */
  async recordOutcome(finalOutcome: FinalOutcome): Promise<void> {
    const { clock, ledger, home } = this.#options;
    const endMs = clock.nowMs() + RECORD_TIMEOUT_MS;
    while (clock.nowMs() < endMs) {
      const deadlineMs = clock.nowMs() + RECORD_TRY_TIMEOUT_MS;
      const command = this.#outcomeCommand(finalOutcome);
      const result = await ledger.execute(command, { home, deadlineMs });
      if (result.isRight()) {
        return;
      }
      await new Promise<void>((resolve) =>
        clock.after(RETRY_DELAY_LIMIT_MS, resolve)
      );
    }
  }

  #execute(command: LedgerCommand): Promise<Result<LedgerReply>> {
    const { ledger, home, record, clock } = this.#options;
    const { deadlineMs } = record;
    if (deadlineMs <= clock.nowMs()) {
      const detail = "The deadline passed before the claim was granted.";
      return Promise.resolve(failure("outcomeUnknown", { detail }));
    }
    return ledger.execute(command, { home, deadlineMs });
  }

  #commonFields() {
    return {
      formatVersion: 1,
      key: this.#key,
      claimant: this.#options.claimant,
      atMs: this.#options.clock.nowMs(),
    } as const;
  }

  #claimCommand(): LedgerCommand {
    const { record, retentionMs } = this.#options;
    return {
      ...this.#commonFields(),
      kind: "claim",
      digest: this.#digest,
      expiresAtMs: record.deadlineMs + retentionMs,
    };
  }

  #outcomeCommand(finalOutcome: FinalOutcome): LedgerCommand {
    if (finalOutcome.kind === "notRun") {
      return { ...this.#commonFields(), kind: "release" };
    }
    const { clock, retentionMs } = this.#options;
    return {
      ...this.#commonFields(),
      kind: "end",
      outcome: outcomeOf(finalOutcome),
      expiresAtMs: clock.nowMs() + retentionMs,
    };
  }
}

function outcomeOf(
  finalOutcome: Exclude<FinalOutcome, { kind: "notRun" }>,
): RecordedOutcome {
  if (finalOutcome.kind === "unknown") {
    return { kind: "unknown" };
  }
  const { httpStatus, contentType, body } = finalOutcome.routed.answer;
  return {
    kind: "answered",
    httpStatus,
    ...(contentType === undefined ? {} : { contentType }),
    body: new Uint8Array(body),
  };
}

/** Digest of the request's content, without its class and timeout. */
function digestOf(record: RequestRecord): string {
  const head = [record.service, record.path, record.contentType ?? ""];
  return createHash("sha256")
    .update(JSON.stringify(head))
    .update(record.body)
    .digest("base64url");
}
