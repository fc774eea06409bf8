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
import { type CommandContext, report } from "../command_context.ts";
import { renderEditView } from "./edit_view.ts";
import { type EditView, SectionClient } from "./section_client.ts";
import { requireKey } from "./team_key_option.ts";

/** What `datacentre out|in` is asked for. */
export interface DataCentreSwitchOptions {
  readonly dataCentre: string;
  readonly status: "in" | "out";
  /** `team:key`. */
  readonly key?: string;
  /** How long to wait for a removal to hold. */
  readonly waitMs?: number;
  readonly clock?: Clock;
}

/** How long a removal is waited for when the operator says nothing. */
export const REMOVAL_WAIT_MS = 30_000;

/** How often a lost race with another edit of the section is run again. */
const CONFLICTS_LIMIT = 5;

const FATE_PERIOD_MS = 250;

/** Exit code while a removal doesn't hold yet. */
export const PENDING_EXIT_CODE = 75;

/** Takes the data centre out, or back in; gives the exit code. */
export async function switchDataCentre(
  context: CommandContext,
  options: DataCentreSwitchOptions,
): Promise<number> {
  const input = requireKey(options.key).chain((key) =>
    parseSectionId(`dataCentres.${options.dataCentre}`)
      .map((sectionId) => ({ key, sectionId }))
  );
  if (input.isLeft()) {
    return report(context, { result: input, render: String });
  }
  const { key, sectionId } = input.unsafeCoerce();
  const { clock, status } = options;
  const sections = new SectionClient({
    client: context.client,
    key,
    ...(clock === undefined ? {} : { clock }),
  });
  const made = await setStatus(sections, { sectionId, status });
  const waitMs = options.waitMs ?? REMOVAL_WAIT_MS;
  const settled = made.isLeft() || made.unsafeCoerce().view.state !== "pending"
    ? made.map(({ view }) => view)
    : await waitForRemoval(sections, { ...made.unsafeCoerce(), waitMs });
  const code = report(context, { result: settled, render: renderEditView });
  const isPending = settled.map((view) => view.state === "pending")
    .orDefault(false);
  return isPending ? PENDING_EXIT_CODE : code;
}

interface MadeEdit {
  readonly editId: string;
  readonly view: EditView;
}

async function setStatus(
  sections: SectionClient,
  change: { readonly sectionId: SectionId; readonly status: "in" | "out" },
): Promise<Result<MadeEdit>> {
  let result: Result<MadeEdit> = failure("conflict");
  for (let attempt = 0; attempt < CONFLICTS_LIMIT; attempt++) {
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
): Promise<Result<MadeEdit>> {
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
 * The section's text with another status. Comments stay where one line can
 * be replaced with the right result; else the text is rendered anew.
 */
export function textWithStatus(
  text: string,
  change: { readonly sectionId: SectionId; readonly status: "in" | "out" },
): Result<string> {
  const { kind, name } = change.sectionId;
  const line = `status = "${change.status}"`;
  return parseToml(text).chain((table) => {
    const before = (table[kind] as PlainTable | undefined)?.[name];
    const wanted = { ...before as PlainTable, status: change.status };
    const candidates = [
      text.replace(/^status\s*=.*$/m, line),
      text.replace(/^\[.*\][ \t]*$/m, (header) => `${header}\n${line}`),
    ];
    const fitting = candidates.find((candidate) =>
      isDeepStrictEqual(
        sectionIn(candidate, change.sectionId),
        wanted,
      )
    );
    return Right(fitting ?? renderSection(change.sectionId, wanted));
  });
}

function sectionIn(text: string, sectionId: SectionId): PlainTable | undefined {
  const table = parseToml(text).orDefault({});
  const sections = table[sectionId.kind] as PlainTable | undefined;
  const section = sections?.[sectionId.name] as PlainTable | undefined;
  return section === undefined ? undefined : { ...section };
}

/** Asks again till the removal holds, is taken back, or time is up. */
async function waitForRemoval(
  sections: SectionClient,
  edit: MadeEdit & { readonly waitMs: number },
): Promise<Result<EditView>> {
  const endMs = sections.nowMs() + edit.waitMs;
  let last: Result<EditView> = Right(edit.view);
  while (sections.nowMs() < endMs) {
    await sections.pause(FATE_PERIOD_MS);
    const fate = await sections.fate(edit.editId);
    if (fate.isRight()) {
      last = fate;
    }
    if (last.unsafeCoerce().state !== "pending") {
      return last;
    }
  }
  return last;
}
