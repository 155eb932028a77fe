//! CSV import and export: a header, then one row per target.

use std::str::FromStr;

use csv::{ReaderBuilder, StringRecord, Trim, Writer};
use sequoiatrail_types::FailureDomain;
use snafu::ResultExt;

use crate::error::{
    CellSnafu, CsvSnafu, DuplicateColumnSnafu, MissingColumnsSnafu, UnknownColumnsSnafu,
};
use crate::{Result, Row};

/// Required columns, in export order.
const REQUIRED_COLUMNS: [&str; 8] = [
    "service",
    "address",
    "port",
    "protocol",
    "target",
    "target_address",
    "failure_domain",
    "weight",
];
/// Columns that may be absent or empty.
const OPTIONAL_COLUMNS: [&str; 5] = [
    "drain_limit_s",
    "max_connections",
    "owner",
    "slots",
    "state",
];
/// Written at the start of files by some spreadsheet programs.
const BYTE_ORDER_MARK: char = '\u{feff}';

/// Parses rows from CSV with a header. Columns may be in any order; lines that
/// start with `#` are ignored.
///
/// An error names the row, the column, the value and the allowed values. Value
/// ranges and consistency are checked later, in [`crate::Table::with_rows`].
pub fn from_csv(text: &str) -> Result<Vec<Row>> {
    let text = text.trim_start_matches(BYTE_ORDER_MARK);
    let mut reader = ReaderBuilder::new()
        .trim(Trim::All)
        .comment(Some(b'#'))
        .from_reader(text.as_bytes());
    let header = reader.headers().context(CsvSnafu)?.clone();
    check_header(&header)?;
    let mut rows = Vec::new();
    for (index, record) in reader.records().enumerate() {
        let record = record.context(CsvSnafu)?;
        let reader = RowReader {
            row: index + 1,
            header: &header,
            record: &record,
        };
        rows.push(reader.read()?);
    }
    Ok(rows)
}

/// Writes rows as CSV. The header is written even if there are no rows.
pub fn to_csv(rows: &[Row]) -> Result<String> {
    let mut writer = Writer::from_writer(Vec::new());
    if rows.is_empty() {
        writer.write_record(REQUIRED_COLUMNS).context(CsvSnafu)?;
    }
    for row in rows {
        writer.serialize(row).context(CsvSnafu)?;
    }
    writer.flush().map_err(csv::Error::from).context(CsvSnafu)?;
    let bytes = writer.into_inner().unwrap_or_default();
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

fn check_header(header: &StringRecord) -> Result<()> {
    let allowed = || REQUIRED_COLUMNS.iter().chain(&OPTIONAL_COLUMNS).copied();
    let unknown: Vec<_> = header
        .iter()
        .filter(|name| allowed().all(|a| a != *name))
        .collect();
    if !unknown.is_empty() {
        let columns = unknown.join("`, `");
        let allowed = allowed().collect::<Vec<_>>().join(", ");
        return UnknownColumnsSnafu { columns, allowed }.fail();
    }
    let is_missing = |name: &&str| header.iter().all(|h| h != *name);
    let missing: Vec<_> = REQUIRED_COLUMNS.into_iter().filter(is_missing).collect();
    if !missing.is_empty() {
        let columns = missing.join("`, `");
        return MissingColumnsSnafu { columns }.fail();
    }
    let duplicate = allowed().find(|name| header.iter().filter(|h| h == name).count() > 1);
    match duplicate {
        Some(column) => DuplicateColumnSnafu { column }.fail(),
        None => Ok(()),
    }
}

/// One record with access to its cells by column name.
struct RowReader<'a> {
    row: usize,
    header: &'a StringRecord,
    record: &'a StringRecord,
}

impl RowReader<'_> {
    fn read(&self) -> Result<Row> {
        let number = "a whole number from 0 to 4294967295";
        Ok(Row {
            service: self.text("service").to_owned(),
            owner: self.text("owner").to_owned(),
            address: self.cell("address", "an IPv4 or IPv6 address")?,
            port: self.cell("port", "1 to 65535")?,
            protocol: self.cell("protocol", "tcp, udp")?,
            target: self.text("target").to_owned(),
            target_address: self.cell(
                "target_address",
                "an address with a port: 198.51.100.1:6081 or [2001:db8::1]:6081",
            )?,
            failure_domain: FailureDomain(self.cell("failure_domain", "0 to 65535")?),
            weight: self.cell("weight", "0 to 1000")?,
            max_connections: self.cell_or_default("max_connections", number)?,
            slots: self.cell_or_default("slots", number)?,
            state: self.cell_or_default("state", "started, stopped")?,
            drain_limit_s: self.cell_or_default("drain_limit_s", number)?,
        })
    }

    fn text(&self, column: &str) -> &str {
        let at = self.header.iter().position(|name| name == column);
        at.and_then(|at| self.record.get(at)).unwrap_or_default()
    }

    fn cell<T: FromStr>(&self, column: &'static str, allowed: &'static str) -> Result<T> {
        let value = self.text(column);
        let Ok(parsed) = value.parse() else {
            let row = self.row;
            return CellSnafu {
                row,
                column,
                value,
                allowed,
            }
            .fail();
        };
        Ok(parsed)
    }

    fn cell_or_default<T>(&self, column: &'static str, allowed: &'static str) -> Result<T>
    where
        T: FromStr + Default,
    {
        if self.text(column).is_empty() {
            return Ok(T::default());
        }
        self.cell(column, allowed)
    }
}
