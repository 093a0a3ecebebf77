//! The planners' sheet: parse, check and difference.
//!
//! A sheet is a CSV table with one row for each thing: the sheet's number, the
//! organisations, data centres, services and their routes, models and upstreams.
//! It states the whole configuration; what it does not name is gone once it is
//! in force. [`parse`] checks it as a whole and lists every fault:
//!
//! ```
//! let csv = "\
//! kind,name,number,state
//! sheet,cl-centro,17,
//! data_centre,san-antonio,,in
//! data_centre,quintero,,closed
//! data_centre,san-antonio,,out
//! ";
//! let faults = sheet::parse(csv.as_bytes()).unwrap_err();
//! let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
//! assert_eq!(
//!     lines,
//!     [
//!         "row 4, column state: \"closed\" is neither in nor out",
//!         "row 5, column name: data_centre san-antonio is already in row 3",
//!     ],
//! );
//! ```
//!
//! A sheet without faults becomes a configuration, and [`difference`] tells what
//! it would change:
//!
//! ```
//! let parse = |state| {
//!     let csv = format!("kind,name,number,state\nsheet,r,1,\ndata_centre,dc-1,,{state}\n");
//!     sheet::parse(csv.as_bytes()).unwrap().to_configuration()
//! };
//! let differences = sheet::difference(&parse("in"), &parse("out"));
//! assert_eq!(differences[0].to_string(), "data centre dc-1: state in -> out");
//! ```

mod cell;
mod difference;
mod fault;
mod model;
mod parse;
mod render;
mod table;

pub use difference::{Difference, DifferenceKind, Field, FieldChange, difference};
pub use fault::{Result, SheetFault};
pub use model::Sheet;
pub use parse::parse;
pub use table::{MAX_BYTES, MAX_FAULTS, MAX_ROWS};
