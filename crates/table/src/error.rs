//! Validation errors, with the row and the column where they apply.

use snafu::Snafu;

/// Result type of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a table was rejected. A rejected table is not applied, not even in part.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The value of a cell is not allowed in its column.
    #[snafu(display("row {row}, column {column}: `{value}` is not allowed; allowed: {allowed}"))]
    Cell {
        /// Row number; the first row after the header is 1.
        row: usize,
        /// Column name.
        column: &'static str,
        /// Text of the cell.
        value: String,
        /// Allowed values.
        allowed: &'static str,
    },
    /// A row conflicts with an earlier row.
    #[snafu(display("row {row}: {reason}"))]
    ConflictingRows {
        /// Row number; the first row after the header is 1.
        row: usize,
        /// Description of the conflict.
        reason: String,
    },
    /// The header contains unknown columns.
    #[snafu(display("unknown column `{columns}`; allowed: {allowed}"))]
    UnknownColumns {
        /// Names of the columns.
        columns: String,
        /// Names of all valid columns.
        allowed: String,
    },
    /// The header lacks required columns.
    #[snafu(display("missing column `{columns}`"))]
    MissingColumns {
        /// Names of the columns.
        columns: String,
    },
    /// A column appears twice in the header, which is ambiguous.
    #[snafu(display("column `{column}` appears twice"))]
    DuplicateColumn {
        /// Name of the column.
        column: String,
    },
    /// A serialized table is inconsistent.
    #[snafu(display("invalid stored table: {reason}"))]
    Stored {
        /// Description of the inconsistency.
        reason: String,
    },
    /// No row has this service and target.
    #[snafu(display("service `{service}` has no target `{target}`"))]
    NoSuchTarget {
        /// Name of the service.
        service: String,
        /// Name of the target.
        target: String,
    },
    /// CSV could not be parsed or written.
    #[snafu(display("invalid CSV: {source}"))]
    Csv {
        /// Error of the CSV reader or writer.
        source: csv::Error,
    },
}
