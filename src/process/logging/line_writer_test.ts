import test from "ava";
import { FakeClock } from "../../base/mod.ts";
import { EventLineLog } from "./event_line_log.ts";
import { LineWriter } from "./line_writer.ts";

test("lines are dropped while the reader stalls", (t) => {
  const chunks: Uint8Array[] = [];
  let release = () => {};
  const writer = new LineWriter({
    limitBytes: 1_000,
    write: (chunk, done) => {
      chunks.push(chunk);
      release = () => done(null, chunk.length);
    },
  });
  for (let line = 0; line < 10_000; line++) {
    writer.push("a line of some length");
  }
  t.is(chunks.length, 1);
  t.true(writer.dropped > 9_900);
  release();
  t.is(chunks.length, 2);
  release();
  t.true(writer.push("accepted again"));
});

test("a partial write is continued where it stopped", (t) => {
  let text = "";
  const writer = new LineWriter({
    write: (chunk, done) => {
      const part = chunk.subarray(0, 3);
      text += new TextDecoder().decode(part);
      done(null, part.length);
    },
  });
  writer.push("hello");
  t.is(text, "hello\n");
});

test("a burst is written in chunks that a pipe takes as a whole", (t) => {
  const chunks: Uint8Array[] = [];
  const pending: (() => void)[] = [];
  const writer = new LineWriter({
    write: (chunk, done) => {
      chunks.push(chunk);
      pending.push(() => done(null, chunk.length));
    },
  });
  const lines = Array.from({ length: 300 }, (_, n) => `${n} ${"ü".repeat(50)}`);
  lines.push("z".repeat(5_000), "last");
  lines.forEach((line) => writer.push(line));
  while (pending.length > 0) {
    pending.shift()!();
  }
  const long = chunks.filter((chunk) => chunk.length > 4_096);
  t.is(long.length, 1);
  t.true(long[0]!.every((byte, at) => byte === (at < 5_000 ? 0x7a : 0x0a)));
  const texts = chunks.map((chunk) => new TextDecoder().decode(chunk));
  t.true(texts.every((text) => text.endsWith("\n")));
  t.is(texts.join(""), lines.join("\n") + "\n");
});

test("lines that a failed write loses count as dropped", (t) => {
  const chunks: Uint8Array[] = [];
  let fail = () => {};
  const writer = new LineWriter({
    write: (chunk, done) => {
      chunks.push(chunk);
      fail = () => done(new Error("broken pipe"), 0);
    },
  });
  writer.push("one");
  writer.push("two");
  writer.push("three");
  fail();
  t.is(writer.dropped, 1);
  fail();
  t.is(writer.dropped, 3);
  t.is(chunks.length, 2);
});

/** A writer whose pipe is full for its first writes, and what it took then. */
function writerToFullPipe(options: { limitBytes?: number } = {}) {
  const pipe = { isFull: true, text: "" };
  const retries: (() => void)[] = [];
  const writer = new LineWriter({
    ...options,
    write: (chunk, done) => {
      if (pipe.isFull) {
        done(Object.assign(new Error("try again"), { code: "EAGAIN" }), 0);
        return;
      }
      pipe.text += new TextDecoder().decode(chunk);
      done(null, chunk.length);
    },
    retryLater: (retry) => retries.push(retry),
  });
  return { writer, pipe, retries };
}

// Guards against dropping what a non-blocking pipe doesn't take at once.
test("lines wait while a non-blocking pipe is full", (t) => {
  const { writer, pipe, retries } = writerToFullPipe();
  const lines = ["one", "two", "three"];
  lines.forEach((line) => writer.push(line));
  for (let attempt = 0; attempt < 5; attempt++) {
    t.is(retries.length, 1, "one write waits");
    retries.shift()!();
  }
  t.is(pipe.text, "");
  pipe.isFull = false;
  retries.shift()!();
  t.is(pipe.text, lines.join("\n") + "\n");
  t.is(writer.dropped, 0);
  t.is(retries.length, 0);
});

test("a partly written chunk goes on where a full pipe stopped it", (t) => {
  let text = "";
  let writes = 0;
  const retries: (() => void)[] = [];
  const writer = new LineWriter({
    write: (chunk, done) => {
      writes += 1;
      if (writes === 2) {
        done(Object.assign(new Error("try again"), { code: "EAGAIN" }), 0);
        return;
      }
      const part = chunk.subarray(0, 3);
      text += new TextDecoder().decode(part);
      done(null, part.length);
    },
    retryLater: (retry) => retries.push(retry),
  });
  writer.push("hello");
  t.is(text, "hel");
  retries.shift()!();
  t.is(text, "hello\n");
});

test("lines that wait for a full pipe stay within the queue's bound", (t) => {
  const { writer, pipe, retries } = writerToFullPipe({ limitBytes: 1_000 });
  const taken = Array.from({ length: 500 }, (_, n) => writer.push(`line ${n}`))
    .filter((isTaken) => isTaken).length;
  t.is(writer.dropped, 500 - taken);
  t.true(taken < 150);
  pipe.isFull = false;
  retries.shift()!();
  t.is(pipe.text.split("\n").length - 1, taken);
});

/** A log whose reader can stall, and the lines that it read. */
function logToReader(options: { linesPerPeriod?: number } = {}) {
  const clock = new FakeClock();
  const read: Record<string, unknown>[] = [];
  const reader = { isStalled: false, resume: () => {} };
  const log = new EventLineLog({
    ...options,
    instanceId: "i",
    clock,
    writer: new LineWriter({
      limitBytes: 2_000,
      write: (chunk, done) => {
        const take = () => {
          const text = new TextDecoder().decode(chunk);
          text.trim().split("\n").forEach((line) =>
            read.push(JSON.parse(line))
          );
          done(null, chunk.length);
        };
        if (reader.isStalled) {
          reader.resume = take;
        } else {
          take();
        }
      },
    }),
  });
  return { log, clock, read, reader };
}

test("lines of one life are counted from 1, and name it", (t) => {
  const { log, read, clock } = logToReader();
  log.emit("settingsLoaded");
  clock.advance(10);
  log.emit("processStarted");
  t.deepEqual(read.map(({ line }) => line), [1, 2]);
  t.is(read[0]!["life"], read[1]!["life"]);
  const next = logToReader();
  next.clock.advance(5);
  const began = new EventLineLog({
    instanceId: "i",
    clock: next.clock,
    writer: new LineWriter({
      write: (chunk, done) => {
        next.read.push(JSON.parse(new TextDecoder().decode(chunk)));
        done(null, chunk.length);
      },
    }),
  });
  began.emit("settingsLoaded");
  t.is(next.read[0]!["line"], 1);
  t.not(next.read[0]!["life"], read[0]!["life"]);
});

test("lost lines are gaps in the count, of as many lines as the log says", (t) => {
  const { log, clock, read, reader } = logToReader({ linesPerPeriod: 50 });
  log.emit("settingsLoaded");
  for (let call = 0; call < 70; call++) {
    log.emit("batchJobRefused", { jobId: `j${call}` });
  }
  clock.advance(1_000);
  reader.isStalled = true;
  for (let call = 0; call < 40; call++) {
    log.emit("batchJobAccepted", { jobId: `j${call}` });
  }
  clock.advance(3_000);
  reader.isStalled = false;
  reader.resume();
  clock.advance(1_000);
  log.emit("processStopped");
  const lines = read.map(({ line }) => Number(line));
  const sum = (event: string) =>
    read.filter((line) => line["event"] === event)
      .reduce((total, line) => total + Number(line["lines"]), 0);
  t.is(sum("logLinesSuppressed"), 20);
  t.true(sum("logLinesDropped") > 20);
  t.is(
    lines.at(-1)! - lines.length,
    sum("logLinesSuppressed") + sum("logLinesDropped"),
  );
  t.deepEqual(lines, [...lines].sort((a, b) => a - b));
});

test("each event has a line budget, and suppressed lines are reported", (t) => {
  const lines: Record<string, unknown>[] = [];
  const clock = new FakeClock();
  const log = new EventLineLog({
    instanceId: "i",
    clock,
    linesPerPeriod: 5,
    writer: new LineWriter({
      write: (chunk, done) => {
        const text = new TextDecoder().decode(chunk);
        text.trim().split("\n").forEach((line) => lines.push(JSON.parse(line)));
        done(null, chunk.length);
      },
    }),
  });
  for (let call = 0; call < 100; call++) {
    log.emit("batchJobRefused", { jobId: `j${call}` });
  }
  log.emit("batchJobAccepted", { jobId: "other" });
  t.is(lines.length, 6);
  clock.advance(1_000);
  const summary = lines.at(-1);
  t.is(summary?.event, "logLinesSuppressed");
  t.is(summary?.lines, 95);
  t.is(summary?.suppressed, "batchJobRefused");
});

test("untrusted text can't break out of a line", (t) => {
  const chunks: string[] = [];
  const log = new EventLineLog({
    instanceId: "instance-1",
    clock: new FakeClock(),
    writer: new LineWriter({
      write: (chunk, done) => {
        chunks.push(new TextDecoder().decode(chunk));
        done(null, chunk.length);
      },
    }),
  });
  log.emit("batchJobRefused", { jobId: 'a"\n\u001b[31m', reason: "queueFull" });
  t.is(chunks.join("").split("\n").length, 2);
  t.false(chunks.join("").includes("\u001b"));
  const line = JSON.parse(chunks.join("")) as Record<string, unknown>;
  t.is(line.number, 7_011);
  t.is(line.instance, "instance-1");
  t.is(line.reason, "queueFull");
});
