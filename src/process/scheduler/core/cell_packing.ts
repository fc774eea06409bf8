/**
 * The packing of guaranteed shapes, as the document's check does it.
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
