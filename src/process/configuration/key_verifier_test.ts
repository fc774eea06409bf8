import test from "ava";
import { FakeClock } from "../../base/fake_clock.ts";
import type { Team } from "../../version/document/document.ts";
import {
  hashTeamKey,
  matchesTeamKey,
} from "../../version/document/team_key.ts";
import {
  fixtureHash,
  fixtureKey,
  matchesFixture,
} from "./configuration_fixture.ts";
import { KeyVerifier } from "./key_verifier.ts";

const KEY = fixtureKey("rating");
const TEAM: Team = { owner: "operations", keyHashes: [fixtureHash(KEY)] };

/** A verifier that counts its slow hashes and how many run concurrently. */
function createCountingVerifier() {
  const counts = { hashes: 0, concurrent: 0, maxConcurrent: 0 };
  const clock = new FakeClock();
  const verifier = new KeyVerifier({
    clock,
    hashesBurst: 10,
    matches: async (key, hash) => {
      counts.hashes++;
      counts.concurrent++;
      counts.maxConcurrent = Math.max(counts.maxConcurrent, counts.concurrent);
      const isMatch = await matchesFixture(key, hash);
      counts.concurrent--;
      return isMatch;
    },
  });
  const verify = (key: string, team: Team | undefined = TEAM) =>
    verifier.verify({ team: "rating", key }, team);
  return { counts, clock, verify };
}

test("a verified key needs only one slow hash", async (t) => {
  const { counts, verify } = createCountingVerifier();
  for (let at = 0; at < 50; at++) {
    const result = await verify(KEY);
    t.deepEqual(result.unsafeCoerce(), {
      team: "rating",
      keyHash: fixtureHash(KEY),
    });
  }
  t.is(counts.hashes, 1);
});

test("a verified key is rejected once its hash is removed", async (t) => {
  const { verify } = createCountingVerifier();
  t.true((await verify(KEY)).isRight());
  const rotated: Team = { ...TEAM, keyHashes: [fixtureHash("new")] };
  t.is(
    (await verify(KEY, rotated)).swap().unsafeCoerce().kind,
    "unauthenticated",
  );
  t.true((await verify("new", rotated)).isRight());
});

test("wrong keys can't use up the processor or lock a team out", async (t) => {
  const { counts, clock, verify } = createCountingVerifier();
  t.true((await verify(KEY)).isRight());
  const attempts = Array.from({ length: 200 }, (_, at) => verify(`bad-${at}`));
  const results = await Promise.all(attempts);
  const kinds = results.map((result) => result.swap().unsafeCoerce().kind);
  t.true(kinds.includes("unauthenticated"));
  t.true(kinds.includes("overloaded"));
  t.is(counts.hashes, 10);
  t.is(counts.maxConcurrent, 1);
  t.true((await verify(KEY)).isRight(), "the team's own key still works");
  clock.advance(1_000);
  t.is((await verify("bad")).swap().unsafeCoerce().kind, "unauthenticated");
});

test("unknown teams and oversized keys need no slow hash", async (t) => {
  const { counts, verify } = createCountingVerifier();
  const huge = await verify("x".repeat(1_000));
  t.is(huge.swap().unsafeCoerce().kind, "unauthenticated");
  const verifier = new KeyVerifier({ clock: new FakeClock() });
  const unknown = await verifier.verify({ team: "x", key: KEY }, undefined);
  t.is(unknown.swap().unsafeCoerce().kind, "unauthenticated");
  t.is(counts.hashes, 0);
});

test("a hash is salted and matches only its own key", async (t) => {
  const hash = await hashTeamKey("a-long-enough-key");
  t.regex(hash, /^scrypt\$[0-9a-f]{32}\$[0-9a-f]{64}$/);
  t.not(await hashTeamKey("a-long-enough-key"), hash);
  t.true(await matchesTeamKey("a-long-enough-key", hash));
  t.false(await matchesTeamKey("a-long-enough-kez", hash));
  t.false(await matchesTeamKey("a-long-enough-key", "scrypt$00$00"));
});
