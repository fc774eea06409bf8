/**
 * The document and its versions.
 *
 * @module
 */

export type { ConfigurationVersion } from "./configuration_version.ts";
export type {
  ClientAccount,
  DataCentre,
  Document,
  Guarantee,
  JobClass,
  Rack,
  RequestClass,
  SectionKind,
  Service,
  Team,
} from "./document/document.ts";
export { EMPTY_DOCUMENT } from "./document/document_change.ts";
export {
  type AccountGuarantee,
  declaredRacks,
  findUnplacedGuarantee,
  guaranteesOf,
  packShape,
} from "./document/guarantee_packing.ts";
export { parseDocument, parseSection } from "./document/parse_document.ts";
export { renderDocument, renderSection } from "./document/render_document.ts";
export {
  formatSectionId,
  parseSectionId,
  type SectionId,
} from "./document/section_id.ts";
export {
  VersionHolder,
  type VersionHolderOptions,
  type VersionLease,
  type VersionResources,
} from "./version_holder.ts";
