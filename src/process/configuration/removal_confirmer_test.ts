import test from "ava";
import fc from "fast-check";
import { FakeClock } from "../../base/fake_clock.ts";
import { SeededRandom } from "../../base/random_source.ts";
import { SILENT_EVENT_LOG } from "../../base/event_log.ts";
import { FakePeerHub } from "../replication/fake_peer_network.ts";
import {
  FIXTURE_DOCUMENT,
  fixtureEdit,
  northText,
} from "./configuration_fixture.ts";
import { type EditState, editStateOf } from "./edit_state.ts";
import {
  FakeConfigurationGroup,
  type FakeMember,
} from "./fake_configuration_group.ts";
import { InForceTracker } from "./in_force_tracker.ts";
import {
  RemovalConfirmer,
  type RemovalConfirmerOptions,
} from "./removal_confirmer.ts";

const INSTANCES = [
  { id: "south-1", dataCentre: "south" },
  { id: "north-1", dataCentre: "north" },
  { id: "north-2", dataCentre: "north" },
];

interface Node {
  readonly member: FakeMember;
  readonly inForce: InForceTracker;
  readonly confirmer: RemovalConfirmer;
}

/** Three instances, of which those in `north` can be isolated. */
class RemovalSystem {
  readonly clock = new FakeClock({ startMs: 1_000_000 });
  readonly hub = new FakePeerHub({
    clock: this.clock,
    random: new SeededRandom({ seed: 1 }),
  });
  readonly group = new FakeConfigurationGroup({ clock: this.clock });
  readonly nodes: Node[];
  readonly #outEditIds: string[] = [];
  #edits = 0;

  constructor(options: Partial<RemovalConfirmerOptions> = {}) {
    this.nodes = INSTANCES.map(({ id }) => this.#createNode(id, options));
    const atMs = this.clock.nowMs();
    this.group.commit({ kind: "bootstrap", text: FIXTURE_DOCUMENT, atMs });
    this.clock.advance(100);
  }

  #createNode(id: string, options: Partial<RemovalConfirmerOptions>): Node {
    const { clock, group } = this;
    const member = group.join(id);
    const peerIds = INSTANCES.map((instance) => instance.id);
    const network = this.hub.join(id, { peerIds });
    const inForce = new InForceTracker({ clock, network });
    const { machine } = member;
    machine.changes.subscribe({
      next: (version) => inForce.setVersion(version.version),
      error: () => undefined,
      complete: () => undefined,
    });
    const confirmer = new RemovalConfirmer({
      clock,
      events: SILENT_EVENT_LOG,
      machine,
      log: member,
      inForce,
      instances: INSTANCES,
      ...options,
    });
    return { member, inForce, confirmer };
  }

  get machine() {
    return (this.nodes[0] as Node).member.machine;
  }

  setNorth(status: "in" | "out", startPermissionMs: number): void {
    const sectionId = { kind: "dataCentres", name: "north" } as const;
    const editId = `edit-${this.#edits++}`;
    if (status === "out") {
      this.#outEditIds.push(editId);
    }
    this.group.commit(fixtureEdit({
      editId,
      team: "operations",
      sectionId,
      baseVersion: this.machine.section(sectionId)?.version ?? 0,
      change: {
        kind: "replace",
        text: northText(status, { startPermissionMs }),
      },
      atMs: this.clock.nowMs(),
    }));
  }

  setConnected(index: number, isConnected: boolean): void {
    const node = this.nodes[index] as Node;
    node.member.isConnected = isConnected;
    this.hub.heal();
    this.nodes.filter(({ member }) => !member.isConnected)
      .forEach(({ member }) => this.hub.isolate(member.instanceId));
  }

  /** The scheduler leader on the instance carries out the removal, if known. */
  acknowledge(index: number): void {
    const { member, inForce } = this.nodes[index] as Node;
    const { version, document } = member.machine.current;
    if (document.dataCentres["north"]?.status === "out") {
      inForce.acknowledge("north", version);
    }
  }

  /** Whether an instance of `north` may start tasks according to its copy. */
  mayStart(): boolean {
    return this.nodes.slice(1).some(({ member }) => {
      const north = member.machine.current.document.dataCentres["north"];
      const { currentAtMs } = member.status();
      const permission = north?.startPermissionMs ?? 0;
      return north?.status === "in" &&
        this.clock.nowMs() < currentAtMs + permission;
    });
  }

  /** Advances time in small steps, and lets promises settle after each. */
  async run(byMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < byMs; elapsedMs += 50) {
      this.clock.advance(Math.min(50, byMs - elapsedMs));
      await Promise.resolve();
      await Promise.resolve();
      await Promise.resolve();
      this.check();
    }
  }

  /** Throws if a removal of `north` is accepted while it may start tasks. */
  check(): void {
    const states = this.#outEditIds.map((editId) => this.stateOf(editId));
    if (states.includes("accepted") && this.mayStart()) {
      throw new Error("removal accepted while a stale copy permits starts");
    }
  }

  stateOf(editId: string): EditState["state"] | undefined {
    const { machine } = this;
    const recorded = machine.findEdit(editId);
    const outcome = recorded === undefined
      ? undefined
      : machine.outcomeOf(recorded);
    return outcome?.kind !== "accepted" ? undefined : editStateOf(outcome, {
      removals: machine.removals,
      holdsByMs: () => 0,
    }).state;
  }

  close(): void {
    for (const { inForce, confirmer } of this.nodes) {
      confirmer.close();
      inForce.close();
    }
  }
}

test("a removal takes effect at once when north carries it out", async (t) => {
  const system = new RemovalSystem();
  system.setNorth("out", 60_000);
  t.is(system.machine.removals.removal("north")?.state, "pending");
  system.acknowledge(1);
  await system.run(500);
  t.is(system.machine.removals.removal("north")?.state, "accepted");
  system.close();
});

test("a removal is confirmed after an attempt that threw", async (t) => {
  const system = new RemovalSystem();
  const { member } = system.nodes[0] as Node;
  const propose = member.propose.bind(member);
  let attempts = 0;
  member.propose = (command) => {
    attempts += 1;
    return attempts === 1
      ? Promise.reject(new Error("not written"))
      : propose(command);
  };
  system.setNorth("out", 60_000);
  system.acknowledge(1);
  await system.run(1_000);
  t.is(system.machine.removals.removal("north")?.state, "accepted");
  system.close();
});

test("without acknowledgement the last permission must expire", async (t) => {
  const system = new RemovalSystem();
  system.setNorth("in", 20_000);
  await system.run(1_000);
  system.setConnected(1, false);
  system.setNorth("in", 2_000);
  await system.run(1_000);
  const startMs = system.clock.nowMs();
  system.setNorth("out", 2_000);
  const removal = system.machine.removals.removal("north");
  t.truthy(removal);
  const { confirmer } = system.nodes[0] as Node;
  const holdsByMs = removal === undefined ? 0 : confirmer.holdsByMs(removal);
  t.true(holdsByMs > startMs + 18_000, "the older permission expires later");
  await system.run(15_000);
  t.is(system.machine.removals.removal("north")?.state, "pending");
  await system.run(holdsByMs + 1_000 - system.clock.nowMs());
  t.is(system.machine.removals.removal("north")?.state, "accepted");
  system.close();
});

test("putting a data centre back in cancels its pending removal", async (t) => {
  const system = new RemovalSystem();
  system.setNorth("out", 30_000);
  system.setNorth("in", 30_000);
  await system.run(40_000);
  t.is(system.machine.removals.removal("north"), undefined);
  system.close();
});

test("repeating status out doesn't make a removal take effect", async (t) => {
  const system = new RemovalSystem();
  system.setConnected(1, false);
  system.setNorth("out", 30_000);
  system.setNorth("out", 30_000);
  t.is(system.stateOf("edit-0"), "pending");
  t.is(system.stateOf("edit-1"), "pending");
  await system.run(3_000);
  t.is(system.stateOf("edit-1"), "accepted");
  system.setNorth("in", 30_000);
  t.is(system.stateOf("edit-1"), "superseded");
  system.close();
});

type Step =
  | { kind: "set"; status: "in" | "out"; permissionMs: number }
  | { kind: "connect"; index: number; isConnected: boolean }
  | { kind: "acknowledge"; index: number }
  | { kind: "wait"; byMs: number };

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    kind: fc.constant("set" as const),
    status: fc.constantFrom("in" as const, "out" as const),
    permissionMs: fc.constantFrom(0, 500, 2_000, 8_000),
  }),
  fc.record({
    kind: fc.constant("connect" as const),
    index: fc.constantFrom(1, 2),
    isConnected: fc.boolean(),
  }),
  fc.record({
    kind: fc.constant("acknowledge" as const),
    index: fc.constantFrom(1, 2),
  }),
  fc.record({
    kind: fc.constant("wait" as const),
    byMs: fc.constantFrom(50, 300, 1_000, 4_000),
  }),
);

async function runStep(system: RemovalSystem, step: Step): Promise<void> {
  switch (step.kind) {
    case "set":
      system.setNorth(step.status, step.permissionMs);
      break;
    case "connect":
      system.setConnected(step.index, step.isConnected);
      break;
    case "acknowledge":
      system.acknowledge(step.index);
      break;
    case "wait":
      await system.run(step.byMs);
      break;
  }
  system.check();
}

async function fuzzRemovals(
  options: Partial<RemovalConfirmerOptions>,
): Promise<boolean> {
  const property = fc.asyncProperty(
    fc.array(stepArbitrary, { maxLength: 25 }),
    async (steps) => {
      const system = new RemovalSystem(options);
      for (const step of steps) {
        await runStep(system, step);
      }
      system.close();
    },
  );
  const run = await fc.check(property, { seed: 7_112, numRuns: 300 });
  return run.failed;
}

test("no removal is accepted while a stale copy permits starts", async (t) => {
  t.false(await fuzzRemovals({}));
});

test("the fuzz test detects a confirmer that confirms too early", async (t) => {
  t.true(await fuzzRemovals({ startInFlightMs: -1_000 }));
});

test("the fuzz test detects a confirmer that ignores followers", async (t) => {
  t.true(await fuzzRemovals({ instances: [] }));
});
