import test from "ava";
import fc from "fast-check";
import { type TurnClient, TurnQueue } from "./turn_queue.ts";

const TURN_BYTES = 100;
const SHARE_BYTES = 20;

/** A queue whose turns the test begins. */
function createQueue() {
  const deferred: (() => void)[] = [];
  const queue = new TurnQueue({
    turnBytes: TURN_BYTES,
    shareBytes: SHARE_BYTES,
    defer: (callback) => void deferred.push(callback),
  });
  const beginTurn = () => deferred.splice(0).forEach((call) => call());
  return { queue, beginTurn };
}

/** A client with parts of work that it does as soon as it may. */
class Worker implements TurnClient {
  readonly #queue: TurnQueue;
  readonly #parts: number[];
  doneBytes = 0;

  constructor(queue: TurnQueue, parts: readonly number[]) {
    this.#queue = queue;
    this.#parts = [...parts];
  }

  get isDone(): boolean {
    return this.#parts.length === 0;
  }

  onTurn(): void {
    while (!this.isDone && this.#queue.take(this, this.#parts[0]!)) {
      this.doneBytes += this.#parts.shift()!;
    }
  }
}

// Guards against callers of one request who wait for those that sent many ahead.
test("a client within its share doesn't wait behind others", (t) => {
  const { queue, beginTurn } = createQueue();
  const others = Array.from(
    { length: 50 },
    () => new Worker(queue, Array.from({ length: 40 }, () => 10)),
  );
  others.forEach((each) => each.onTurn());
  t.is(queue.waiting, 50);
  beginTurn();
  const ordinary = new Worker(queue, [10]);
  ordinary.onTurn();
  t.true(ordinary.isDone);
});

// Guards against turns that are longer the more clients wait, and against clients
// that never get one.
test("turns are limited, and each client is served in every round", (t) => {
  const part = fc.integer({ min: 1, max: 2 * TURN_BYTES });
  const property = fc.property(
    fc.array(fc.array(part, { minLength: 1, maxLength: 20 }), {
      minLength: 1,
      maxLength: 40,
    }),
    (work) => {
      const { queue, beginTurn } = createQueue();
      const workers = work.map((parts) => new Worker(queue, parts));
      workers.forEach((worker) => worker.onTurn());
      const total = () =>
        workers.reduce((sum, { doneBytes }) => sum + doneBytes, 0);
      while (workers.some(({ isDone }) => !isDone)) {
        const doneBytes = total();
        const waiting = queue.waiting;
        beginTurn();
        const turnBytes = total() - doneBytes;
        if (turnBytes > 3 * TURN_BYTES || (waiting > 0 && turnBytes === 0)) {
          return false;
        }
      }
      return queue.waiting === 0;
    },
  );
  t.notThrows(() => fc.assert(property, { seed: 52 }));
});

test("a client that leaves gets no turn", (t) => {
  const { queue, beginTurn } = createQueue();
  const worker = new Worker(queue, [SHARE_BYTES, TURN_BYTES, TURN_BYTES]);
  worker.onTurn();
  t.is(queue.waiting, 1);
  queue.leave(worker);
  beginTurn();
  t.false(worker.isDone);
});
