/**
 * `config validate FILE`: checks a whole document, without any instance.
 *
 * @module
 */

import { parseDocument } from "../../../version/document/parse_document.ts";
import { SECTION_KINDS } from "../../../version/document/section_id.ts";
import { type CommandContext, report } from "../command_context.ts";

/** Checks the document in the file; gives the exit code. */
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
  return report(context, {
    result,
    render: ({ file, sections }) =>
      `${file} is sound: ${
        sections.map(({ kind, count }) => `${count} ${kind}`).join(", ")
      }`,
  });
}
