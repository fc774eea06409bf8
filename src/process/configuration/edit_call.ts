/**
 * Parses an edit from an HTTP call.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import { isIdentity } from "../../base/identity.ts";
import { failure, type Result } from "../../base/sesame_error.ts";
import {
  parseSectionId,
  type SectionId,
} from "../../version/document/section_id.ts";
import type { HttpCall, HttpCallHead } from "../http/http_endpoint.ts";
import type { SectionChange } from "./configuration_command.ts";
import type { EditRequest } from "./configuration_service.ts";
import type { PresentedKey, VerifiedKey } from "./key_verifier.ts";

/** The header that carries the edit's ID. */
export const EDIT_ID_HEADER = "idempotency-key";

/** The header that carries the section version that the edit is based on. */
export const BASE_VERSION_HEADER = "if-match";

const BEARER_PATTERN = /^Bearer ([^\s:]+):(\S+)$/i;

/** Parses the section ID from the call's path. */
export function sectionOfCall(call: HttpCallHead): Result<SectionId> {
  const { kind = "", name = "" } = call.parameters;
  return parseSectionId(`${kind}.${name}`);
}

/** Parses the key from the header `authorization: Bearer team:key`. */
export function keyOfCall(call: HttpCallHead): Result<PresentedKey> {
  const match = BEARER_PATTERN.exec(call.headers.authorization ?? "");
  const [, team, key] = match ?? [];
  return team === undefined || key === undefined
    ? failure("unauthenticated", {
      detail: "expected the header authorization: Bearer team:key",
    })
    : Right({ team, key });
}

/** Parses the edit; the caller's key has been verified before. */
export function editOfCall(
  call: HttpCall,
  verified: VerifiedKey,
): Result<EditRequest> {
  return sectionOfCall(call).chain((sectionId) =>
    editIdOf(call).chain((editId) =>
      baseVersionOf(call).chain((baseVersion) =>
        changeOf(call).map((change) => ({
          editId,
          ...verified,
          sectionId,
          baseVersion,
          change,
        }))
      )
    )
  );
}

function editIdOf(call: HttpCallHead): Result<string> {
  const editId = call.headers[EDIT_ID_HEADER];
  return typeof editId === "string" && isIdentity(editId)
    ? Right(editId)
    : failure("malformed", {
      location: EDIT_ID_HEADER,
      detail: "expected the edit's ID: letters, digits and . _ : -",
    });
}

function baseVersionOf(call: HttpCallHead): Result<number> {
  const header = call.headers[BASE_VERSION_HEADER] ?? "";
  const match = /^"?(\d{1,15})"?$/.exec(header);
  return match === null
    ? failure("malformed", {
      location: BASE_VERSION_HEADER,
      detail: "expected the section's version that the edit is based on, " +
        "or 0 for a new section",
    })
    : Right(Number(match[1]));
}

function changeOf(call: HttpCall): Result<SectionChange> {
  if (call.method === "DELETE") {
    return Right({ kind: "remove" });
  }
  try {
    const decoder = new TextDecoder("utf-8", { fatal: true });
    return Right({ kind: "replace", text: decoder.decode(call.body) });
  } catch {
    return failure("malformed", { detail: "the text is not valid UTF-8" });
  }
}
