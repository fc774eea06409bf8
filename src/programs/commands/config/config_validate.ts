/**
 * `config validate FILE`: validates a document without calling an instance.
 *
 * @module
 */

import { parseDocument } from "../../../version/document/parse_document.ts";
import { SECTION_KINDS } from "../../../version/document/section_id.ts";
import { type CommandContext, printResult } from "../command_context.ts";

/** Validates the document in the file; returns the exit code. */
export async function validateConfiguration(
  context: CommandContext,
  options: { readonly file: string },
): Promise<number> {
  const text = await context.io.read(options.file);
  const result = text.chain((content) => parseDocument(content))
    .map((document) => ({
      file: options.file,
      sections: SECTION_KINDS.map((kind) => ({
        kind,
        count: Object.keys(document[kind]).length,
      })),
    }));
  return printResult(context, {
    result,
    render: ({ file, sections }) =>
      `${file} is valid: ${
        sections.map(({ kind, count }) => `${count} ${kind}`).join(", ")
      }`,
  });
}
