/**
 * Operators of a process test: they race one another with edits of the same
 * section, and send an edit again whose answer they lost.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import type { SectionId } from "../../src/version/document/section_id.ts";
import { SectionClient } from "../../src/programs/commands/config/section_client.ts";
import { type Cluster, pause } from "./cluster.ts";

const KEY = "operations:demo-operations-key";
const SECTION: SectionId = { kind: "jobClasses", name: "overnight" };

/** Keeps the load far below the edits that are remembered for a day. */
const EDIT_PAUSE_MS = 250;

interface Accepted {
  readonly editId: string;
  readonly version: number;
  readonly text: string;
}

/** Operators that edit until they are stopped. */
export class EditLoad {
  readonly accepted: Accepted[] = [];
  /** Edits whose fate their operator never learnt. */
  readonly unknown: string[] = [];
  #cluster: Cluster;
  #operators: Promise<void>[] = [];
  #isStopped = false;

  constructor(options: { cluster: Cluster; operators: number }) {
    this.#cluster = options.cluster;
    for (let at = 0; at < options.operators; at++) {
      this.#operators.push(this.#operate(at));
    }
  }

  /** Returns once every operator has its last answer. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    await Promise.all(this.#operators);
  }

  /** Everything that went against the promises, as one instance shows it. */
  async faults(instanceId: string): Promise<string[]> {
    const answer = await this.#cluster.get(
      instanceId,
      "/v1/configuration/history?limit=1000&section=jobClasses.overnight",
    );
    const { entries } = answer as {
      entries: { editId: string | null; version: number }[];
    };
    const byEdit = new Map(
      entries.map(({ editId, version }) => [editId, version]),
    );
    const versions = this.accepted.map(({ version }) => version);
    const lost = this.accepted
      .filter(({ editId, version }) => byEdit.get(editId) !== version)
      .map(({ editId }) => `the accepted edit ${editId} is gone`);
    const isRepeated = new Set(versions).size !== versions.length;
    return isRepeated ? [...lost, "a version was given twice"] : lost;
  }

  async #operate(first: number): Promise<void> {
    const { instances } = this.#cluster.layout;
    for (let turn = first; !this.#isStopped; turn++) {
      const instance = instances[turn % instances.length];
      const sections = new SectionClient({
        client: this.#cluster.client(instance?.id ?? ""),
        key: KEY,
        attemptsLimit: 10,
        retryDelayMs: 200,
      });
      await this.#edit(sections);
      await pause(EDIT_PAUSE_MS);
    }
  }

  async #edit(sections: SectionClient): Promise<void> {
    const current = (await sections.read(SECTION)).toMaybe().extract();
    if (current?.text === undefined) {
      await sections.delay(100);
      return;
    }
    const editId = randomUUID();
    const millis = 1_000 + Math.floor(Math.random() * 100_000);
    const text = current.text.replace(
      /checkpointMs = [\d_]+/,
      `checkpointMs = ${millis}`,
    );
    const result = await sections.edit({
      sectionId: SECTION,
      editId,
      baseVersion: current.version,
      text,
    });
    result.caseOf({
      Left: (error) => {
        if (error.kind !== "conflict") {
          this.unknown.push(editId);
        }
      },
      Right: ({ version }) => {
        this.accepted.push({ editId, version: version ?? 0, text });
      },
    });
  }
}
