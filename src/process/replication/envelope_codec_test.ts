import test from "ava";
import * as fc from "fast-check";
import { pack, unpack } from "msgpackr";
import { decodeEnvelope, encodeEnvelope } from "./envelope_codec.ts";
import type { RaftEnvelope, RaftMessage } from "./raft_message.ts";

const MESSAGES: readonly RaftMessage[] = [
  { kind: "preVote", term: 3, lastIndex: 9, lastTerm: 2 },
  {
    kind: "vote",
    term: 3,
    lastIndex: 9,
    lastTerm: 2,
    isHandOver: true,
    isLeaderless: false,
  },
  {
    kind: "voteReply",
    term: 3,
    isPreVote: false,
    isGranted: true,
    isWilling: true,
  },
  {
    kind: "append",
    term: 3,
    previousIndex: 8,
    previousTerm: 2,
    entries: [
      { index: 9, term: 3, kind: "start", data: new Uint8Array() },
      { index: 10, term: 3, kind: "command", data: new Uint8Array([1, 2]) },
    ],
    commitIndex: 8,
    sentAtMs: 12.5,
    stampMs: 0,
    isLeaseHeld: false,
  },
  { kind: "redirect", lowerIncarnation: 0 },
  { kind: "redirect", leaderId: "b", lowerIncarnation: 4 },
  { kind: "readReply", id: 5 },
  { kind: "formPledge", formationId: "a:1" },
];

test("every envelope is decoded as it was encoded", (t) => {
  for (const message of MESSAGES) {
    const envelope: RaftEnvelope = {
      formationId: "a:7",
      fromIncarnation: 1_764_840_000_000_123,
      toIncarnation: 0,
      message,
    };
    const body: unknown = unpack(pack(encodeEnvelope(envelope)));
    const read = decodeEnvelope(body).unsafeCoerce();
    t.deepEqual(pack(read), pack(envelope), message.kind);
  }
  const groupless: RaftEnvelope = {
    fromIncarnation: 1,
    toIncarnation: 2,
    message: { kind: "formPledge", formationId: "a:1" },
  };
  t.deepEqual(
    decodeEnvelope(encodeEnvelope(groupless)).unsafeCoerce(),
    groupless,
  );
});

test("other input is malformed and never throws", (t) => {
  const property = fc.property(
    fc.anything(),
    fc.array(fc.anything()),
    (a, b) =>
      decodeEnvelope(a).isLeft() &&
      decodeEnvelope(["g", 1, 1, 3, ...b]).isLeft(),
  );
  t.notThrows(() => fc.assert(property, { seed: 8, numRuns: 2_000 }));
});
