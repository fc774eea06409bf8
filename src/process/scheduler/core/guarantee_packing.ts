/**
 * The packing of guaranteed shapes, shared with the document check.
 *
 * @module
 */

export {
  compareShapes,
  findUnplacedGuarantee,
  guaranteesOf,
  type PackingRack,
  packShape,
  type Shape,
} from "../../../version/document/guarantee_packing.ts";
