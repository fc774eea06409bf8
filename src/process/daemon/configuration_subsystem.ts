/**
 * Configuration of an instance: its member of the configuration group and the
 * service on top of it.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { Right } from "purify-ts/Either";
import type { Storage } from "../../base/mod.ts";
import { failure, type Result, type SesameError } from "../../base/mod.ts";
import type {
  ConfigurationCommand,
  ConfigurationOutcome,
} from "../configuration/configuration_command.ts";
import { ConfigurationMachine } from "../configuration/configuration_machine.ts";
import { ConfigurationService } from "../configuration/configuration_service.ts";
import {
  type GroupMember,
  registerDiskMetrics,
  ReplicationMember,
} from "../replication/mod.ts";
import type { Settings } from "../settings/mod.ts";
import type { DaemonBase } from "./daemon_base.ts";

/** The ID of the only configuration group. */
export const CONFIGURATION_GROUP = "configuration";

/** Delay before the initial document is submitted again. */
const BOOTSTRAP_RETRY_MS = 1_000;

/**
 * Limit of the catch-up traffic to a peer in another region: a tenth of a
 * 20 Mbit/s link.
 */
const REMOTE_CATCH_UP_BYTES_PER_SECOND = 250_000;

/** Limit of the catch-up traffic to a peer in the same region. */
const LOCAL_CATCH_UP_BYTES_PER_SECOND = 12_500_000;

/** Runs the configuration group's member and service of one instance. */
export class ConfigurationSubsystem {
  readonly service: ConfigurationService;
  readonly member: ReplicationMember<
    ConfigurationCommand,
    ConfigurationOutcome
  >;
  #base: DaemonBase;
  #isClosed = false;

  private constructor(
    base: DaemonBase,
    options: {
      machine: ConfigurationMachine;
      member: ReplicationMember<ConfigurationCommand, ConfigurationOutcome>;
    },
  ) {
    this.#base = base;
    this.member = options.member;
    this.service = new ConfigurationService({
      machine: options.machine,
      log: options.member,
      network: base.network,
      clock: base.clock,
      events: base.timeline,
      instances: [base.settings.instance, ...base.settings.peers],
    });
  }

  /** Restores the member's state from storage and joins the group. */
  static async open(
    base: DaemonBase,
    options: { storage: Storage | undefined },
  ): Promise<Result<ConfigurationSubsystem>> {
    const machine = new ConfigurationMachine({});
    const member = await ReplicationMember.open({
      groupId: CONFIGURATION_GROUP,
      members: listMembers(base.settings),
      network: base.network,
      clock: base.clock,
      random: base.random,
      machine,
      storage: options.storage,
      events: base.timeline,
      catchUpBytesPerSecond: (peer) => catchUpRateLimit(base.settings, peer),
    });
    return member.map((opened) => {
      registerDiskMetrics(base.metrics, opened);
      return new ConfigurationSubsystem(base, { machine, member: opened });
    });
  }

  /**
   * Starts submitting the document of the bootstrap settings, and retries until
   * a document exists or this one is rejected. Fails if its file can't be read.
   */
  bootstrap(): Result<void> {
    const { documentFile } = this.#base.settings.bootstrap;
    if (documentFile === undefined) {
      return Right(undefined);
    }
    return readText(documentFile).map((text) => {
      void this.#submitInitialDocument(text);
    });
  }

  async close(): Promise<void> {
    this.#isClosed = true;
    this.service.close();
    await this.member.handOver();
    await this.member.close();
  }

  async #submitInitialDocument(text: string): Promise<void> {
    if (this.#isClosed || this.service.current().version > 0) {
      return;
    }
    const result = await this.service.bootstrap(text);
    const isDone = result.swap().map(isDocumentRejected).orDefault(true);
    if (!isDone) {
      this.#base.clock.after(
        BOOTSTRAP_RETRY_MS,
        () => void this.#submitInitialDocument(text),
      );
    }
  }
}

/** Whether the document itself is faulty, so that a retry would fail too. */
export function isDocumentRejected(error: SesameError): boolean {
  return error.kind === "malformed" || error.kind === "invalid" ||
    error.kind === "tooLarge";
}

function listMembers(settings: Settings): GroupMember[] {
  return [settings.instance, ...settings.peers].map(({ id, hasDisk }) => ({
    id,
    isVoter: hasDisk,
    isDurable: hasDisk,
  }));
}

function catchUpRateLimit(settings: Settings, peerId: string): number {
  const peer = settings.peers.find(({ id }) => id === peerId);
  return peer?.region === settings.instance.region
    ? LOCAL_CATCH_UP_BYTES_PER_SECOND
    : REMOTE_CATCH_UP_BYTES_PER_SECOND;
}

function readText(path: string): Result<string> {
  try {
    return Right(readFileSync(path, "utf8"));
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    return failure("notFound", { detail, location: path });
  }
}
