import test from "ava";
import { Left, Right } from "purify-ts/Either";
import { EventRecord } from "../../base/event_record.ts";
import { FakeClock } from "../../base/fake_clock.ts";
import { type Result, SesameError } from "../../base/sesame_error.ts";
import { SeedWatch } from "./seed_watch.ts";

/** A watch whose settings and leader the test sets. */
class WatchedSettings {
  readonly clock = new FakeClock({ startMs: 1_000 });
  readonly events = new EventRecord();
  readonly changes: (readonly string[])[] = [];
  found: Result<readonly string[]> = Right(["a", "b"]);
  isLeaderKnown = false;
  readonly watch = new SeedWatch({
    clock: this.clock,
    events: this.events,
    seedIds: ["a", "b"],
    isLeaderKnown: () => this.isLeaderKnown,
    readSeedIds: () => this.found,
    onChange: (seedIds) => this.changes.push(seedIds),
  });
}

test("an instance whose seeds are all gone uses those that the settings name meanwhile", (t) => {
  const watched = new WatchedSettings();
  watched.clock.advance(10_000);
  t.deepEqual(watched.changes, []);
  watched.found = Right(["c", "d"]);
  watched.clock.advance(10_000);
  t.deepEqual(watched.changes, [["c", "d"]]);
  t.is(watched.events.of("settingsReloaded").length, 1);
  watched.watch.close();
});

test("seeds aren't read again while a leader is known", (t) => {
  const watched = new WatchedSettings();
  watched.found = Right(["c", "d"]);
  watched.isLeaderKnown = true;
  watched.clock.advance(10_000);
  t.deepEqual(watched.changes, []);
  watched.watch.close();
});

test("settings that can't be read keep the seeds until they can", (t) => {
  const watched = new WatchedSettings();
  watched.found = Left(new SesameError("malformed"));
  watched.clock.advance(10_000);
  t.deepEqual(watched.changes, []);
  t.is(watched.events.of("settingsReloaded").length, 1);
  watched.found = Right(["c"]);
  watched.clock.advance(2_000);
  t.deepEqual(watched.changes, [["c"]]);
  watched.watch.close();
});
