/**
 * The HTTP endpoints under `/v1/configuration`.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import { failure, type Result } from "../../base/sesame_error.ts";
import { SECTION_LIMIT_BYTES } from "../../version/document/parse_document.ts";
import {
  formatSectionId,
  type SectionId,
} from "../../version/document/section_id.ts";
import {
  type HttpAnswer,
  type HttpCall,
  type HttpEndpoint,
  jsonAnswer,
} from "../http/http_endpoint.ts";
import type { EditOutcome } from "./configuration_command.ts";
import type {
  ConfigurationService,
  EditResult,
  RecordedEditResult,
} from "./configuration_service.ts";
import {
  viewDocument,
  viewDocumentText,
  viewSectionText,
} from "./configuration_view.ts";
import { editOfCall, keyOfCall, sectionOfCall } from "./edit_call.ts";
import { historyAnswer } from "./history_view.ts";

const ROOT = "/v1/configuration";
const SECTION_PATH = `${ROOT}/sections/:kind/:name`;

/** The endpoints of one instance's configuration. */
export function configurationEndpoints(
  service: ConfigurationService,
): HttpEndpoint[] {
  const edit = (call: HttpCall) => answerEdit(service, call);
  return [
    get(ROOT, (call) => answerDocument(service, call)),
    get(SECTION_PATH, (call) => answerSection(service, call)),
    get(
      `${ROOT}/history`,
      (call) => Promise.resolve(historyAnswer(service, call)),
    ),
    get(`${ROOT}/edits/:editId`, (call) => answerEditState(service, call)),
    {
      method: "PUT",
      path: SECTION_PATH,
      bodyLimitBytes: SECTION_LIMIT_BYTES,
      handle: edit,
    },
    { method: "DELETE", path: SECTION_PATH, bodyLimitBytes: 0, handle: edit },
  ];
}

function get(path: string, handle: HttpEndpoint["handle"]): HttpEndpoint {
  return { method: "GET", path, bodyLimitBytes: 0, handle };
}

async function answerDocument(
  service: ConfigurationService,
  call: HttpCall,
): Promise<Result<HttpAnswer>> {
  const reader = await authenticateReader(service, call);
  return reader.map((view) => {
    const { version, acceptedAtMs, document } = service.current();
    if (!wantsJson(call)) {
      return tomlAnswer(viewDocumentText(service.machine, view), version);
    }
    return withEtag(version, {
      version,
      acceptedAtMs,
      currentAtMs: service.currentAtMs(),
      document: viewDocument(document, view),
    });
  });
}

async function answerSection(
  service: ConfigurationService,
  call: HttpCall,
): Promise<Result<HttpAnswer>> {
  const reader = await authenticateReader(service, call);
  return sectionOfCall(call).chain((sectionId) =>
    reader.chain((view) => {
      const text = viewSectionText(service.machine, sectionId, view);
      const version = service.machine.section(sectionId)?.version ?? 0;
      return text === undefined
        ? noSection(sectionId, version)
        : Right(sectionAnswer(call, { sectionId, version, text }));
    })
  );
}

function noSection(
  sectionId: SectionId,
  currentVersion: number,
): Result<HttpAnswer> {
  return failure("notFound", {
    location: formatSectionId(sectionId),
    detail: "there is no such section",
    facts: { currentVersion },
  });
}

function sectionAnswer(
  call: HttpCall,
  found: { sectionId: SectionId; version: number; text: string },
): HttpAnswer {
  const { sectionId, version, text } = found;
  const section = formatSectionId(sectionId);
  return wantsJson(call)
    ? withEtag(version, { section, version, text })
    : tomlAnswer(text, version);
}

async function answerEditState(
  service: ConfigurationService,
  call: HttpCall,
): Promise<Result<HttpAnswer>> {
  const editId = call.parameters["editId"] ?? "";
  const result = await service.readEdit(editId);
  return result.map((found) =>
    jsonAnswer(200, { editId, ...describeEdit(found) })
  );
}

function describeEdit(result: RecordedEditResult): object {
  const { team, section, outcome, editState } = result;
  if (editState !== undefined) {
    return { team, section, ...editState };
  }
  const { kind: state, ...rest } = outcome;
  return { team, section, state, ...rest, currentText: undefined };
}

async function answerEdit(
  service: ConfigurationService,
  call: HttpCall,
): Promise<Result<HttpAnswer>> {
  const presented = keyOfCall(call);
  if (presented.isLeft()) {
    return presented.map(unreachable);
  }
  const verified = await service.authenticate(presented.unsafeCoerce());
  const request = verified.chain((key) => editOfCall(call, key));
  if (request.isLeft()) {
    return request.map(unreachable);
  }
  const edit = request.unsafeCoerce();
  const location = formatSectionId(edit.sectionId);
  if (call.query.get("dryRun") === "true") {
    const { evaluation, isCurrent } = await service.preview(edit);
    return evaluation.kind === "acceptable"
      ? Right(jsonAnswer(200, { state: "wouldBeAccepted", isCurrent }))
      : rejected(evaluation, location);
  }
  const result = await service.edit(edit);
  return result.chain((edited) =>
    editAnswer(edited, { editId: edit.editId, location })
  );
}

function editAnswer(
  result: EditResult,
  edit: { editId: string; location: string },
): Result<HttpAnswer> {
  const { outcome, editState } = result;
  if (editState === undefined) {
    return rejected(outcome, edit.location);
  }
  const { editId, location: section } = edit;
  const status = editState.state === "pending" ? 202 : 200;
  const answer = jsonAnswer(status, { editId, section, ...editState });
  const headers = { ...answer.headers, etag: `"${editState.version}"` };
  return Right({ ...answer, headers });
}

function rejected(
  outcome: Exclude<EditOutcome, { kind: "accepted" }>,
  location: string,
): Result<HttpAnswer> {
  switch (outcome.kind) {
    case "conflict": {
      const { currentVersion, currentText } = outcome;
      return failure("conflict", {
        location,
        detail: `the section is at version ${currentVersion} now`,
        facts: { currentVersion, currentText },
      });
    }
    case "refused": {
      const { error, detail, line } = outcome;
      const facts = line === null ? {} : { line };
      return failure(error, { location: outcome.location, detail, facts });
    }
  }
}

/** Readers may be anonymous, but a presented key must be valid. */
async function authenticateReader(
  service: ConfigurationService,
  call: HttpCall,
): Promise<Result<{ isAuthenticated: boolean }>> {
  if (call.headers.authorization === undefined) {
    return Right({ isAuthenticated: false });
  }
  const presented = keyOfCall(call);
  if (presented.isLeft()) {
    return presented.map(() => ({ isAuthenticated: false }));
  }
  const verified = await service.authenticate(presented.unsafeCoerce());
  return verified.map(() => ({ isAuthenticated: true }));
}

function wantsJson(call: HttpCall): boolean {
  return call.headers.accept?.includes("application/json") === true;
}

function tomlAnswer(text: string, version: number): HttpAnswer {
  const headers = { "content-type": "application/toml", etag: `"${version}"` };
  return { status: 200, headers, body: text };
}

function withEtag(version: number, body: object): HttpAnswer {
  const answer = jsonAnswer(200, body);
  return { ...answer, headers: { ...answer.headers, etag: `"${version}"` } };
}

/** Maps a result that is known to be an error; never called. */
function unreachable(): HttpAnswer {
  return jsonAnswer(500, {});
}
