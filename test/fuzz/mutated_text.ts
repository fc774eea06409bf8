/**
 * Random text that is almost valid: a valid text with a few changes.
 *
 * @module
 */

import fc from "fast-check";

/** Fragments that have a meaning in TOML, JSON or JavaScript. */
const FRAGMENTS = [
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

/** Mostly mutations of `valid`, and some random strings and JSON texts. */
export function mutatedText(valid: string): fc.Arbitrary<string> {
  const change = fc.record({
    at: fc.nat({ max: valid.length }),
    removed: fc.nat({ max: 12 }),
    fragment: fc.oneof(
      fc.constantFrom(...FRAGMENTS),
      fc.string({ maxLength: 6 }),
    ),
  });
  const mutated = fc.array(change, { minLength: 1, maxLength: 4 })
    .map((changes) =>
      changes.reduce(
        (text, { at, removed, fragment }) =>
          text.slice(0, at) + fragment + text.slice(at + removed),
        valid,
      )
    );
  return fc.oneof(
    { weight: 6, arbitrary: mutated },
    { weight: 1, arbitrary: fc.string() },
    { weight: 1, arbitrary: fc.json() },
  );
}
