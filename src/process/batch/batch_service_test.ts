import test from "ava";
import { Right } from "purify-ts/Either";
import { failure, FakeClock, SILENT_EVENT_LOG } from "../../base/mod.ts";
import type { ReplicationMember } from "../replication/mod.ts";
import type { BatchCommand, BatchOutcome } from "./batch_command.ts";
import { BatchService } from "./batch_service.ts";
import { BatchState } from "./batch_state.ts";
import { BATCH_TIMING } from "./batch_timing.ts";
import type { WorkerCalls } from "./worker_calls.ts";

/** A service on a member that records what is proposed. */
function serviceOf(
  readBarrier: ReplicationMember<never, never>["readBarrier"],
) {
  const proposed: BatchCommand[] = [];
  const member = {
    readBarrier,
    propose: (command: BatchCommand) => {
      proposed.push(command);
      return Promise.resolve(Right({ kind: "dataCentre" }));
    },
  };
  const service = new BatchService({
    member: member as unknown as ReplicationMember<BatchCommand, BatchOutcome>,
    state: new BatchState(),
    selfId: "self",
    clock: new FakeClock(),
    calls: {} as WorkerCalls,
    events: SILENT_EVENT_LOG,
    timing: BATCH_TIMING,
  });
  return { service, proposed };
}

const ORDER = { isOut: false, deadlineMs: 900 };

// Guards against an order that a suspended process carries out when it wakes.
test("an order whose caller has given up isn't carried out", async (t) => {
  const caller = new AbortController();
  const { service, proposed } = serviceOf(() => {
    caller.abort();
    return Promise.resolve(Right(undefined));
  });
  const order = { ...ORDER, caller: caller.signal };
  t.true((await service.setDataCentreStatus("east", order)).isLeft());
  t.deepEqual(proposed, []);
});

test("an order is carried out for a caller that waits, with a leader", async (t) => {
  const caller = new AbortController().signal;
  const led = serviceOf(() => Promise.resolve(Right(undefined)));
  const order = { ...ORDER, caller };
  t.true((await led.service.setDataCentreStatus("east", order)).isRight());
  t.is(led.proposed.length, 1);
  const cutOff = serviceOf(() => Promise.resolve(failure("unavailable")));
  t.true((await cutOff.service.setDataCentreStatus("east", order)).isLeft());
  t.deepEqual(cutOff.proposed, []);
});

/** A service whose member applies proposals once `release` resolves. */
function serviceOn(state: BatchState, release: () => Promise<void>) {
  const member = {
    readBarrier: () => Promise.resolve(Right(undefined)),
    propose: async (command: BatchCommand) => {
      await release();
      return Right(state.apply(command));
    },
  };
  return new BatchService({
    member: member as unknown as ReplicationMember<BatchCommand, BatchOutcome>,
    state,
    selfId: "self",
    clock: new FakeClock(),
    calls: {} as WorkerCalls,
    events: SILENT_EVENT_LOG,
    timing: BATCH_TIMING,
  });
}

// Guards against an order that a link holds until a newer one was acknowledged.
test("an order that arrives after a newer one doesn't take effect", async (t) => {
  const state = new BatchState();
  const atOnce = serviceOn(state, () => Promise.resolve());
  const caller = new AbortController();
  let release: () => void = () => undefined;
  const cutOff = serviceOn(state, () => new Promise((done) => release = done));
  const options = { deadlineMs: 900, caller: caller.signal };
  const held = cutOff.setDataCentreStatus("east", { ...options, isOut: false });
  await new Promise((done) => setImmediate(done));
  caller.abort();
  const newer = { ...ORDER, isOut: true, caller: new AbortController().signal };
  t.true((await atOnce.setDataCentreStatus("east", newer)).isRight());
  release();
  t.true((await held).isLeft());
  t.deepEqual([...state.dataCentresOut], ["east"]);
});

test("an order that another one overtakes is made again for its caller", async (t) => {
  const state = new BatchState();
  const service = serviceOn(state, () => Promise.resolve());
  const order = { deadlineMs: 900, caller: new AbortController().signal };
  const results = await Promise.all([
    service.setDataCentreStatus("east", { ...order, isOut: true }),
    service.setDataCentreStatus("west", { ...order, isOut: true }),
  ]);
  t.true(results.every((result) => result.isRight()));
  t.deepEqual([...state.dataCentresOut].sort(), ["east", "west"]);
});
