/**
 * Text that is nearly right: a valid one with a few random changes.
 *
 * @module
 */

import fc from "fast-check";

/** Pieces that have a meaning in TOML, JSON or JavaScript. */
const PIECES = [
  "",
  "[",
  "]]",
  "{",
  "}",
  '"',
  "\\u0000",
  "=",
  "\n",
  ",",
  "-1",
  "1e999",
  "9007199254740993",
  "nan",
  "null",
  "true",
  "__proto__",
  "constructor",
  "[__proto__.toString]\n",
  "\ud800",
  "é",
  "1979-05-27T07:32:00Z",
];

/** Texts near `valid`, and some far from it. */
export function mutatedText(valid: string): fc.Arbitrary<string> {
  const change = fc.record({
    at: fc.nat({ max: valid.length }),
    cut: fc.nat({ max: 12 }),
    piece: fc.oneof(fc.constantFrom(...PIECES), fc.string({ maxLength: 6 })),
  });
  const near = fc.array(change, { minLength: 1, maxLength: 4 })
    .map((changes) =>
      changes.reduce(
        (text, { at, cut, piece }) =>
          text.slice(0, at) + piece + text.slice(at + cut),
        valid,
      )
    );
  return fc.oneof(
    { weight: 6, arbitrary: near },
    { weight: 1, arbitrary: fc.string() },
    { weight: 1, arbitrary: fc.json() },
  );
}
