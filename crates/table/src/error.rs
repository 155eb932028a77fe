//! Errors of the table, each naming the row and the column.

use snafu::Snafu;

/// Result of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a table was refused. Nothing of a refused table is applied.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A cell does not hold what its column allows.
    #[snafu(display("row {row}, column {column}: `{value}` is not allowed; allowed: {allowed}"))]
    Cell {
        /// Row number; the first row after the header is 1.
        row: usize,
        /// Column name.
        column: &'static str,
        /// The text found.
        value: String,
        /// What the column allows.
        allowed: &'static str,
    },
    /// Two rows contradict each other.
    #[snafu(display("row {row}: {reason}"))]
    ConflictingRows {
        /// Row number; the first row after the header is 1.
        row: usize,
        /// What contradicts what.
        reason: String,
    },
    /// Columns that a table does not have.
    #[snafu(display("unknown column `{columns}`; allowed: {allowed}"))]
    UnknownColumns {
        /// Their names.
        columns: String,
        /// The columns of a table.
        allowed: String,
    },
    /// Columns that a table must have.
    #[snafu(display("missing column `{columns}`"))]
    MissingColumns {
        /// Their names.
        columns: String,
    },
    /// A column stands twice, so it is not clear which one is meant.
    #[snafu(display("column `{column}` stands twice"))]
    DuplicateColumn {
        /// Its name.
        column: String,
    },
    /// A stored table that no edit can have made.
    #[snafu(display("not a stored table: {reason}"))]
    Stored {
        /// What is wrong with it.
        reason: String,
    },
    /// There is no such row.
    #[snafu(display("service `{service}` has no target `{target}`"))]
    NoSuchTarget {
        /// Name of the service.
        service: String,
        /// Name of the target.
        target: String,
    },
    /// The text is not CSV.
    #[snafu(display("not a table: {source}"))]
    Csv {
        /// The error of the CSV reader or writer.
        source: csv::Error,
    },
}
