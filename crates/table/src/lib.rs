//! The service table written by operators: rows, validation, CSV and diffs.
//!
//! An operator writes [`Row`]s; [`Table::with_rows`] validates them and assigns
//! an ID to each service and target. IDs are never reused, so balancers treat a
//! target that is removed and added again as a new one.

mod check;
mod csv_format;
mod diff;
mod error;
mod id_allocator;
mod past_edits;
mod row;
mod stored;
mod table;

pub use csv_format::{from_csv, to_csv};
pub use diff::{Change, diff};
pub use error::{Error, Result};
pub use row::{Row, TargetState};
pub use table::{EditId, Service, Table, Target};
