/** Test runner settings: the tests run from the compiled tree. */
export default {
  files: ["dist/**/*_test.js"],
  timeout: "2m",
  workerThreads: false,
  concurrency: 4,
};
