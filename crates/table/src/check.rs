//! Row validation: each cell on its own, then consistency between rows.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};

use sequoiatrail_types::Protocol;

use crate::error::{CellSnafu, ConflictingRowsSnafu};
use crate::{Result, Row};

/// Max weight of a target.
const MAX_WEIGHT: u32 = 1_000;
/// Max length of a service, target or owner name, in bytes.
const MAX_NAME_BYTES: usize = 63;

/// Fails on the first row that is invalid or conflicts with an earlier one.
pub(crate) fn check_rows(rows: &[Row]) -> Result<()> {
    let mut checked = CheckedRows::default();
    for (index, row) in rows.iter().enumerate() {
        let number = index + 1;
        check_cells(number, row)?;
        checked.check(number, row)?;
    }
    Ok(())
}

/// Index of the rows that were already checked.
#[derive(Default)]
struct CheckedRows<'a> {
    services: HashMap<&'a str, &'a Row>,
    /// Service name by address, port and protocol.
    by_address: HashMap<(SocketAddr, Protocol), &'a str>,
    /// Row number by service and target name.
    targets: HashMap<(&'a str, &'a str), usize>,
}

impl<'a> CheckedRows<'a> {
    fn check(&mut self, number: usize, row: &'a Row) -> Result<()> {
        let first = *self.services.entry(&row.service).or_insert(row);
        let same = (first.address, first.port, first.protocol, &first.owner)
            == (row.address, row.port, row.protocol, &row.owner);
        if !same {
            let service = &row.service;
            return conflict(
                number,
                format!(
                    "service `{service}` has a different address, port, protocol or owner in an \
                     earlier row"
                ),
            );
        }
        let key = (SocketAddr::new(row.address, row.port), row.protocol);
        let other = *self.by_address.entry(key).or_insert(&row.service);
        if other != row.service {
            return conflict(
                number,
                format!("address, port and protocol are used by service `{other}`"),
            );
        }
        let name = (row.service.as_str(), row.target.as_str());
        match self.targets.insert(name, number) {
            Some(earlier) => conflict(
                number,
                format!(
                    "target `{}` is already defined in row {earlier}",
                    row.target
                ),
            ),
            None => Ok(()),
        }
    }
}

fn conflict(row: usize, reason: String) -> Result<()> {
    ConflictingRowsSnafu { row, reason }.fail()
}

fn check_cells(number: usize, row: &Row) -> Result<()> {
    check_name(number, "service", &row.service)?;
    check_name(number, "target", &row.target)?;
    if !row.owner.is_empty() {
        check_name(number, "owner", &row.owner)?;
    }
    check_address(number, "address", row.address)?;
    check_address(number, "target_address", row.target_address.ip())?;
    check_port(number, "port", row.port)?;
    check_port(number, "target_address", row.target_address.port())?;
    if row.weight <= MAX_WEIGHT {
        return Ok(());
    }
    CellSnafu {
        row: number,
        column: "weight",
        value: row.weight.to_string(),
        allowed: "0 to 1000",
    }
    .fail()
}

fn check_port(row: usize, column: &'static str, port: u16) -> Result<()> {
    if port != 0 {
        return Ok(());
    }
    CellSnafu {
        row,
        column,
        value: "0",
        allowed: "a port from 1 to 65535",
    }
    .fail()
}

fn check_address(row: usize, column: &'static str, address: IpAddr) -> Result<()> {
    if !address.is_unspecified() && !address.is_multicast() {
        return Ok(());
    }
    CellSnafu {
        row,
        column,
        value: address.to_string(),
        allowed: "the address of one host",
    }
    .fail()
}

fn check_name(row: usize, column: &'static str, name: &str) -> Result<()> {
    let allowed_byte = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    if !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(allowed_byte) {
        return Ok(());
    }
    CellSnafu {
        row,
        column,
        value: name,
        allowed: "1 to 63 of a-z, A-Z, 0-9, `-`, `_`, `.`",
    }
    .fail()
}
