/**
 * Reads and validates a daemon's settings file.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { Left, Right } from "purify-ts/Either";
import { parse } from "smol-toml";
import type { z } from "zod";
import { failure, type Result, SesameError } from "../../base/mod.ts";
import { type Settings, settingsSchema } from "./settings.ts";

/** Reads the settings file at `path`; errors name the file and the key. */
export function loadSettings(path: string): Result<Settings> {
  return readText(path).chain((text) => parseSettings(text, { path }));
}

/** Parses the text of a settings file; error messages name `path`. */
export function parseSettings(
  text: string,
  options: { path: string },
): Result<Settings> {
  return parseToml(text, options.path)
    .chain((raw) => checkSchema(raw, options.path))
    .chain((settings) => checkConsistency(settings, options.path));
}

function readText(path: string): Result<string> {
  try {
    return Right(readFileSync(path, "utf8"));
  } catch (error) {
    return failure("notFound", {
      detail: `${path}: can't be read: ${errorMessageOf(error)}`,
      location: path,
    });
  }
}

function parseToml(text: string, path: string): Result<unknown> {
  try {
    return Right(parse(text));
  } catch (error) {
    return failure("malformed", {
      detail: `${path}: not TOML: ${errorMessageOf(error)}`,
      location: path,
    });
  }
}

function checkSchema(raw: unknown, path: string): Result<Settings> {
  const checked = settingsSchema.safeParse(raw);
  if (checked.success) {
    return Right(checked.data);
  }
  const lines = checked.error.issues.map((issue) => describeIssue(issue));
  return invalid(path, lines);
}

function describeIssue(issue: z.core.$ZodIssue): string {
  const key = issue.path.join(".") || "the file";
  if (issue.code === "unrecognized_keys") {
    return `${key}: unknown key ${issue.keys.join(", ")}`;
  }
  return `${key}: ${issue.message}`;
}

function checkConsistency(settings: Settings, path: string): Result<Settings> {
  const lines = [
    ...findDuplicateAddresses(settings),
    ...findDuplicateIds(settings),
    ...findStorageErrors(settings),
    ...findTlsErrors(settings),
  ];
  return lines.length === 0 ? Right(settings) : invalid(path, lines);
}

function findDuplicateAddresses(settings: Settings): string[] {
  const seen = new Map<string, string>();
  const errors: string[] = [];
  for (const [key, address] of listAddresses(settings)) {
    const other = seen.get(address);
    if (other !== undefined) {
      errors.push(`${key}: listen address ${address} is also ${other}`);
    }
    seen.set(address, key);
  }
  return errors;
}

function listAddresses(settings: Settings): [string, string][] {
  const own: [string, string][] = [
    ["instance.httpAddress", settings.instance.httpAddress],
    ["instance.peerAddress", settings.instance.peerAddress],
  ];
  const peers = settings.peers.map((peer, index): [string, string] => [
    `peers.${index}.peerAddress`,
    peer.peerAddress,
  ]);
  return [...own, ...peers];
}

function findDuplicateIds(settings: Settings): string[] {
  const ids = [settings.instance.id, ...settings.peers.map((peer) => peer.id)];
  return ids
    .filter((id, index) => ids.indexOf(id) !== index)
    .map((id) => `peers: duplicate instance ID ${id}`);
}

function findStorageErrors(settings: Settings): string[] {
  if (settings.instance.hasDisk && settings.storage.folder === undefined) {
    return [
      "storage.folder: expected a folder, since instance.hasDisk is true",
    ];
  }
  return [];
}

function findTlsErrors(settings: Settings): string[] {
  const { tlsCertificateFile, tlsKeyFile, tlsAuthorityFile } = settings.cluster;
  const given = [tlsCertificateFile, tlsKeyFile, tlsAuthorityFile]
    .filter((file) => file !== undefined);
  if (given.length === 0 || given.length === 3) {
    return [];
  }
  return ["cluster: expected all three tls files or none"];
}

function invalid(path: string, lines: readonly string[]): Result<Settings> {
  return Left(
    new SesameError("invalid", {
      detail: lines.map((line) => `${path}: ${line}`).join("\n"),
      location: path,
    }),
  );
}

function errorMessageOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
