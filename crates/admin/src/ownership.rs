//! Which rows a token may change.

use std::collections::BTreeSet;

use sequoiatrail_platform::EditRefusal;
use sequoiatrail_table::{Change, Row, Table, diff};
use sequoiatrail_types::RefusalReason;

use crate::Access;

/// Refuses rows that change services of owners that the token is not bound to.
///
/// A row that changes its owner needs both, the old one and the new one.
pub(crate) fn check(access: &Access, table: &Table, rows: &[Row]) -> Result<(), EditRefusal> {
    if access.may_edit_all() {
        return Ok(());
    }
    let changes = diff(&table.rows(), rows);
    let foreign: BTreeSet<&str> = changes
        .iter()
        .flat_map(changed_rows)
        .filter(|row| !access.may_edit_owner(&row.owner))
        .map(|row| row.service.as_str())
        .collect();
    if foreign.is_empty() {
        return Ok(());
    }
    let services: Vec<_> = foreign.into_iter().collect();
    Err(EditRefusal {
        reason: RefusalReason::Forbidden,
        message: format!(
            "token `{}` is not bound to the owner of service {}",
            access.name,
            services.join(", ")
        ),
    })
}

fn changed_rows(change: &Change) -> Vec<&Row> {
    match change {
        Change::Added { row } | Change::Removed { row } => vec![row],
        Change::Changed { from, to } => vec![from, to],
    }
}
