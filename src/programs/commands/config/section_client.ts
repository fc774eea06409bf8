/**
 * Reads and edits sections of the document through an instance. An edit whose
 * response was lost is sent again with the same ID, so that it is made once.
 *
 * @module
 */

import { Left, Right } from "purify-ts/Either";
import * as z from "zod";
import { type Clock, SystemClock } from "../../../base/clock.ts";
import {
  failure,
  type Result,
  SesameError,
} from "../../../base/sesame_error.ts";
import type { SectionId } from "../../../version/document/section_id.ts";
import type { ApiCall, ApiClient } from "../api_client.ts";
import { authorizationHeader } from "./team_key_option.ts";

/** A section as returned by an instance; no text if it does not exist. */
export interface SectionView {
  readonly text: string | undefined;
  readonly version: number;
}

/** An edit of a section. */
export interface SectionEdit {
  readonly sectionId: SectionId;
  readonly editId: string;
  readonly baseVersion: number;
  /** The new text; undefined removes the section. */
  readonly text: string | undefined;
  readonly isDryRun?: boolean;
}

const sectionSchema = z.object({ text: z.string(), version: z.int() });

const editSchema = z.object({
  state: z.enum(["accepted", "pending", "superseded", "wouldBeAccepted"]),
  version: z.int().optional(),
  dataCentre: z.string().optional(),
  holdsByMs: z.number().nullable().optional(),
});

/** The state of an edit, as returned by an instance. */
export type EditView = z.infer<typeof editSchema>;

/** Options of {@link SectionClient}. */
export interface SectionClientOptions {
  readonly client: Pick<ApiClient, "call" | "json">;
  /** As `team:key`. */
  readonly key: string | undefined;
  readonly clock?: Clock;
  /** Maximum number of times that an edit is sent. */
  readonly attemptsLimit?: number;
  /** Delay before an edit is sent again. */
  readonly retryDelayMs?: number;
}

/** Defaults of {@link SectionClientOptions}. */
export const SECTION_CLIENT_DEFAULTS = {
  attemptsLimit: 5,
  retryDelayMs: 500,
} as const;

/** Reads and edits sections. */
export class SectionClient {
  readonly #options: Required<SectionClientOptions>;

  constructor(options: SectionClientOptions) {
    const clock = options.clock ?? new SystemClock();
    this.#options = { ...SECTION_CLIENT_DEFAULTS, ...options, clock };
  }

  async read(sectionId: SectionId): Promise<Result<SectionView>> {
    const result = await this.#json({
      method: "GET",
      path: sectionPath(sectionId),
      headers: { accept: "application/json" },
    }, sectionSchema);
    return result.chainLeft<SesameError, SectionView>((error) => {
      const version = error.facts["currentVersion"];
      return error.kind === "notFound" && typeof version === "number"
        ? Right({ text: undefined, version })
        : Left(error);
    });
  }

  /** Sends the edit until its outcome is known or the attempts are used up. */
  async edit(edit: SectionEdit): Promise<Result<EditView>> {
    const { attemptsLimit, retryDelayMs } = this.#options;
    let result = await this.#send(edit);
    for (let attempt = 1; attempt < attemptsLimit; attempt++) {
      if (!shouldRetry(result)) {
        return result;
      }
      await this.delay(retryDelayMs);
      result = await this.#send(edit);
    }
    return shouldRetry(result) ? addResumeHint(result, edit) : result;
  }

  /** Reads the current state of an edit. */
  async readEditState(editId: string): Promise<Result<EditView>> {
    const path = `/v1/configuration/edits/${encodeURIComponent(editId)}`;
    return await this.#json({ method: "GET", path }, editSchema);
  }

  delay(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.#options.clock.after(delayMs, resolve);
    });
  }

  /** The current time of the clock that also times the delays. */
  nowMs(): number {
    return this.#options.clock.nowMs();
  }

  #send(edit: SectionEdit): Promise<Result<EditView>> {
    const query = edit.isDryRun ? "?dryRun=true" : "";
    return this.#json({
      method: edit.text === undefined ? "DELETE" : "PUT",
      path: sectionPath(edit.sectionId) + query,
      headers: {
        "idempotency-key": edit.editId,
        "if-match": `"${edit.baseVersion}"`,
      },
      ...(edit.text === undefined ? {} : { body: edit.text }),
    }, editSchema);
  }

  async #json<T>(call: ApiCall, schema: z.ZodType<T>): Promise<Result<T>> {
    const headers = {
      ...authorizationHeader(this.#options.key),
      ...call.headers,
    };
    const answer = await this.#options.client.json({ ...call, headers });
    return answer.chain((value) => {
      const parsed = schema.safeParse(value);
      return parsed.success ? Right(parsed.data) : failure<T>("internal", {
        detail: "the response does not have the expected shape",
      });
    });
  }
}

function sectionPath(sectionId: SectionId): string {
  const name = encodeURIComponent(sectionId.name);
  return `/v1/configuration/sections/${sectionId.kind}/${name}`;
}

function shouldRetry(result: Result<EditView>): boolean {
  return result.swap().map((error) =>
    error.kind === "outcomeUnknown" || error.answer.isRetryable
  ).orDefault(false);
}

function addResumeHint(
  result: Result<EditView>,
  edit: SectionEdit,
): Result<EditView> {
  return result.mapLeft((error) =>
    new SesameError(error.kind, {
      detail: `${error.message}; to resume this edit, repeat the ` +
        `command with --edit-id ${edit.editId} --base ${edit.baseVersion}`,
      facts: { ...error.facts, editId: edit.editId },
    })
  );
}
