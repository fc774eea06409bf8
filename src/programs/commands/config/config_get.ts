/**
 * `config get [SECTION]`: prints the document or one section, as TOML.
 *
 * @module
 */

import { parseSectionId } from "../../../version/document/section_id.ts";
import { failure, type Result } from "../../../base/sesame_error.ts";
import type { ApiCall, ApiClient } from "../api_client.ts";
import { type CommandContext, printResult } from "../command_context.ts";
import { SectionClient } from "./section_client.ts";
import { writeSectionFile } from "./section_file.ts";
import { authorizationHeader } from "./team_key_option.ts";

/** Options of `config get`. */
export interface ConfigGetOptions {
  /** `kind.name`; the whole document when undefined. */
  readonly section?: string;
  /** `team:key`; with it, key hashes are shown. */
  readonly key?: string;
}

/** Prints the document or a section; returns the exit code. */
export async function getConfiguration(
  context: CommandContext,
  options: ConfigGetOptions,
): Promise<number> {
  return options.section === undefined
    ? await getDocument(context, options.key)
    : await getSection(context, { ...options, section: options.section });
}

/** Reads the whole document as TOML from an instance. */
export async function readDocumentText(
  client: Pick<ApiClient, "call">,
  key: string | undefined,
): Promise<Result<string>> {
  const answer = await client.call(documentCall("application/toml", key));
  return answer.map(({ text }) => text);
}

function documentCall(accept: string, key: string | undefined): ApiCall {
  return {
    method: "GET",
    path: "/v1/configuration",
    headers: { accept, ...authorizationHeader(key) },
  };
}

async function getDocument(
  context: CommandContext,
  key: string | undefined,
): Promise<number> {
  const accept = context.wantsJson ? "application/json" : "application/toml";
  const result = await context.client.call(documentCall(accept, key));
  return printResult(context, {
    result: result.map((answer) =>
      context.wantsJson ? JSON.parse(answer.text) : answer.text.trimEnd()
    ),
    render: (text) => String(text),
  });
}

async function getSection(
  context: CommandContext,
  options: ConfigGetOptions & { section: string },
): Promise<number> {
  const { client } = context;
  const sections = new SectionClient({ client, key: options.key });
  const sectionId = parseSectionId(options.section);
  if (sectionId.isLeft()) {
    return printResult(context, { result: sectionId, render: String });
  }
  const id = sectionId.unsafeCoerce();
  const view = await sections.read(id);
  const found: Result<{ text: string; version: number }> = view.chain(
    ({ text, version }) =>
      text === undefined
        ? failure("notFound", {
          location: options.section,
          detail: "there is no such section",
        })
        : view.map(() => ({ text, version })),
  );
  return printResult(context, {
    result: found,
    render: (source) => writeSectionFile(id, source).trimEnd(),
  });
}
