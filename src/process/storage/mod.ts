/**
 * Storage: a data folder on disk, checksummed records, and a fake for tests.
 *
 * @module
 */

export { FakeStorage, type FakeStorageFaults } from "./fake_storage.ts";
export { FileStorage } from "./file_storage.ts";
export {
  encodeRecord,
  readSingleRecord,
  type RecordScan,
  scanRecords,
} from "./record_codec.ts";
