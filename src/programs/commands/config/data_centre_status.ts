/**
 * `datacentre out|in NAME`: sets the status in the data centre's section.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { isDeepStrictEqual } from "node:util";
import { Right } from "purify-ts/Either";
import type { Clock } from "../../../base/clock.ts";
import { failure, type Result } from "../../../base/sesame_error.ts";
import { renderSection } from "../../../version/document/render_document.ts";
import {
  formatSectionId,
  parseSectionId,
  type SectionId,
} from "../../../version/document/section_id.ts";
import {
  parseToml,
  type PlainTable,
} from "../../../version/document/toml_text.ts";
import { type CommandContext, printResult } from "../command_context.ts";
import { renderEditView } from "./edit_view.ts";
import { type EditView, SectionClient } from "./section_client.ts";
import { requireKey } from "./team_key_option.ts";

/** Options of `datacentre out|in`. */
export interface DataCentreStatusOptions {
  readonly dataCentre: string;
  readonly status: "in" | "out";
  /** `team:key`. */
  readonly key?: string;
  /** How long to wait for a removal to take effect. */
  readonly waitMs?: number;
  readonly clock?: Clock;
}

/** Default time to wait for a removal to take effect. */
export const DEFAULT_REMOVAL_WAIT_MS = 30_000;

/** Maximum attempts while other edits of the section conflict with this one. */
const MAX_EDIT_ATTEMPTS = 5;

const REMOVAL_POLL_INTERVAL_MS = 250;

/** Exit code if a removal has not taken effect within the wait. */
export const EXIT_REMOVAL_PENDING = 75;

/** Sets the data centre's status; returns the exit code. */
export async function setDataCentreStatus(
  context: CommandContext,
  options: DataCentreStatusOptions,
): Promise<number> {
  const input = requireKey(options.key).chain((key) =>
    parseSectionId(`dataCentres.${options.dataCentre}`)
      .map((sectionId) => ({ key, sectionId }))
  );
  if (input.isLeft()) {
    return printResult(context, { result: input, render: String });
  }
  const { key, sectionId } = input.unsafeCoerce();
  const { clock, status } = options;
  const sections = new SectionClient({
    client: context.client,
    key,
    ...(clock === undefined ? {} : { clock }),
  });
  const submitted = await setStatus(sections, { sectionId, status });
  const waitMs = options.waitMs ?? DEFAULT_REMOVAL_WAIT_MS;
  const finalResult =
    submitted.isLeft() || submitted.unsafeCoerce().view.state !== "pending"
      ? submitted.map(({ view }) => view)
      : await waitForRemoval(sections, { ...submitted.unsafeCoerce(), waitMs });
  const code = printResult(context, {
    result: finalResult,
    render: renderEditView,
  });
  const isPending = finalResult.map((view) => view.state === "pending")
    .orDefault(false);
  return isPending ? EXIT_REMOVAL_PENDING : code;
}

interface SubmittedEdit {
  readonly editId: string;
  readonly view: EditView;
}

async function setStatus(
  sections: SectionClient,
  change: { readonly sectionId: SectionId; readonly status: "in" | "out" },
): Promise<Result<SubmittedEdit>> {
  let result: Result<SubmittedEdit> = failure("conflict");
  for (let attempt = 0; attempt < MAX_EDIT_ATTEMPTS; attempt++) {
    result = await trySetStatus(sections, change);
    const isConflict = result.swap().map((error) => error.kind === "conflict")
      .orDefault(false);
    if (!isConflict) {
      return result;
    }
  }
  return result;
}

async function trySetStatus(
  sections: SectionClient,
  change: { readonly sectionId: SectionId; readonly status: "in" | "out" },
): Promise<Result<SubmittedEdit>> {
  const { sectionId, status } = change;
  const current = await sections.read(sectionId);
  const text = current.chain((view) =>
    view.text === undefined
      ? failure<string>("notFound", {
        location: formatSectionId(sectionId),
        detail: "there is no such data centre",
      })
      : textWithStatus(view.text, { sectionId, status })
  );
  if (text.isLeft()) {
    return text.map(() => ({ editId: "", view: { state: "accepted" } }));
  }
  const editId = randomUUID();
  const result = await sections.edit({
    sectionId,
    editId,
    baseVersion: current.unsafeCoerce().version,
    text: text.unsafeCoerce(),
  });
  return result.map((view) => ({ editId, view }));
}

/**
 * Changes the status in the section's text. Comments are kept if replacing or
 * adding one line gives the intended section; otherwise they are lost, since
 * the section is rendered from its values.
 */
export function textWithStatus(
  text: string,
  change: { readonly sectionId: SectionId; readonly status: "in" | "out" },
): Result<string> {
  const { kind, name } = change.sectionId;
  const line = `status = "${change.status}"`;
  return parseToml(text).chain((table) => {
    const before = (table[kind] as PlainTable | undefined)?.[name];
    const expected = { ...before as PlainTable, status: change.status };
    const candidates = [
      text.replace(/^status\s*=.*$/m, line),
      text.replace(/^\[.*\][ \t]*$/m, (header) => `${header}\n${line}`),
    ];
    const match = candidates.find((candidate) =>
      isDeepStrictEqual(
        parseSectionTable(candidate, change.sectionId),
        expected,
      )
    );
    return Right(match ?? renderSection(change.sectionId, expected));
  });
}

function parseSectionTable(
  text: string,
  sectionId: SectionId,
): PlainTable | undefined {
  const table = parseToml(text).orDefault({});
  const sections = table[sectionId.kind] as PlainTable | undefined;
  const section = sections?.[sectionId.name] as PlainTable | undefined;
  return section === undefined ? undefined : { ...section };
}

/**
 * Polls until the removal takes effect, is superseded, or the time is up.
 * Failed polls are ignored.
 */
async function waitForRemoval(
  sections: SectionClient,
  edit: SubmittedEdit & { readonly waitMs: number },
): Promise<Result<EditView>> {
  const endMs = sections.nowMs() + edit.waitMs;
  let latest: Result<EditView> = Right(edit.view);
  while (sections.nowMs() < endMs) {
    await sections.delay(REMOVAL_POLL_INTERVAL_MS);
    const polled = await sections.readEditState(edit.editId);
    if (polled.isRight()) {
      latest = polled;
    }
    if (latest.unsafeCoerce().state !== "pending") {
      return latest;
    }
  }
  return latest;
}
