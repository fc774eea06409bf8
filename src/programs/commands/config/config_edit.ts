/**
 * `config edit SECTION --file F`: shows the diff, then makes the edit.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { createTwoFilesPatch, FILE_HEADERS_ONLY } from "diff";
import { Right } from "purify-ts/Either";
import type { Clock } from "../../../base/clock.ts";
import { failure, type Result } from "../../../base/sesame_error.ts";
import { parseSection } from "../../../version/document/parse_document.ts";
import {
  formatSectionId,
  parseSectionId,
  type SectionId,
} from "../../../version/document/section_id.ts";
import {
  type CommandContext,
  printError,
  printResult,
} from "../command_context.ts";
import { renderEditView } from "./edit_view.ts";
import { SectionClient, type SectionView } from "./section_client.ts";
import { readSectionFile, type SectionFile } from "./section_file.ts";
import { requireKey } from "./team_key_option.ts";

/** Options of `config edit`. */
export interface ConfigEditOptions {
  /** `kind.name` of the section. */
  readonly section: string;
  /** File with the new text, `-` for standard input. */
  readonly file?: string;
  /** Removes the section instead. */
  readonly remove?: boolean;
  /** `team:key`. */
  readonly key?: string;
  /** The version that the edit is based on. */
  readonly base?: number;
  /** ID of an earlier edit to resume because its response was lost. */
  readonly editId?: string;
  /** Shows the diff and the expected result without changing anything. */
  readonly dryRun?: boolean;
  readonly clock?: Clock;
}

/** Makes the edit; returns the exit code. */
export async function editConfiguration(
  context: CommandContext,
  options: ConfigEditOptions,
): Promise<number> {
  const sectionId = parseSectionId(options.section);
  const key = requireKey(options.key);
  const file = await readNewText(context, options);
  const input = sectionId.chain((id) =>
    key.chain((presented) =>
      file.chain((content) => checkFile(id, content)).map((checked) => ({
        sectionId: id,
        key: presented,
        file: checked,
      }))
    )
  );
  return input.isLeft()
    ? printResult(context, { result: input, render: String })
    : await sendEdit(context, { ...options, ...input.unsafeCoerce() });
}

interface CheckedEdit extends Omit<ConfigEditOptions, "file"> {
  readonly sectionId: SectionId;
  readonly key: string;
  /** Undefined for a removal. */
  readonly file: SectionFile | undefined;
}

async function sendEdit(
  context: CommandContext,
  edit: CheckedEdit,
): Promise<number> {
  const { sectionId, file, key, clock } = edit;
  const sections = new SectionClient({
    client: context.client,
    key,
    ...(clock === undefined ? {} : { clock }),
  });
  const before = await sections.read(sectionId);
  if (before.isLeft()) {
    return printResult(context, { result: before, render: String });
  }
  const current = before.unsafeCoerce();
  if (!context.wantsJson) {
    context.io.out(renderDiff(sectionId, { current, file }));
  }
  const baseVersion = edit.base ?? file?.baseVersion ?? current.version;
  const result = await sections.edit({
    sectionId,
    editId: edit.editId ?? randomUUID(),
    baseVersion,
    text: file?.text,
    ...(edit.dryRun === undefined ? {} : { isDryRun: edit.dryRun }),
  });
  return result.caseOf({
    Left: (error) => printError(context, error),
    Right: (view) =>
      printResult(context, { result, render: () => renderEditView(view) }),
  });
}

/** The file's text, or undefined for a removal. */
async function readNewText(
  context: CommandContext,
  options: ConfigEditOptions,
): Promise<Result<string | undefined>> {
  const isRemoval = options.remove === true;
  if (isRemoval === (options.file !== undefined)) {
    return failure("malformed", {
      detail: "expected either --file FILE (- for standard input) or --remove",
    });
  }
  return options.file === undefined
    ? Right(undefined)
    : await context.io.read(options.file);
}

/** Validates the text before any instance is called. */
function checkFile(
  sectionId: SectionId,
  content: string | undefined,
): Result<SectionFile | undefined> {
  if (content === undefined) {
    return Right(undefined);
  }
  const file = readSectionFile(sectionId, content);
  return parseSection(sectionId, file.text).map(() => file);
}

function renderDiff(
  sectionId: SectionId,
  texts: {
    readonly current: SectionView;
    readonly file: SectionFile | undefined;
  },
): string {
  const name = formatSectionId(sectionId);
  const { current, file } = texts;
  const before = current.text ?? "";
  const after = file?.text.trimStart() ?? "";
  if (before.trim() === after.trim()) {
    return `${name} as edited is the same as version ${current.version}`;
  }
  return createTwoFilesPatch(
    `${name} at version ${current.version}`,
    `${name} as edited`,
    before,
    after,
    undefined,
    undefined,
    { headerOptions: FILE_HEADERS_ONLY },
  ).trimEnd();
}
