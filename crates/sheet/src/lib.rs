//! Parses and checks the operators' sheet and lists the differences between two sheets.
//!
//! A sheet is a CSV file that declares the whole configuration of a region, one row per
//! item: the sheet's region and number, the organisations, data centres, services and
//! their routes, models and upstreams. An item that a sheet omits is removed when the
//! sheet is applied. The daemons parse the sheets that operators plan and apply, and the
//! command line checks them without contacting a daemon. [`parse`] checks the whole file
//! and reports all faults at once:
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
//! A sheet without faults becomes a configuration, and [`difference`] lists what it would
//! change compared with another one:
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
