//! Authorization of edits by the owners of services.

use std::collections::BTreeSet;

use sequoiatrail_platform::EditRefusal;
use sequoiatrail_table::{Change, Row, Table, diff};
use sequoiatrail_types::RefusalReason;

use crate::Access;

/// Rejects edits that affect services of owners for which the token is not valid.
///
/// Changing the owner of a row requires permission for the old and the new owner.
pub(crate) fn check_owners(
    access: &Access,
    table: &Table,
    rows: &[Row],
) -> Result<(), EditRefusal> {
    if access.may_edit_all() {
        return Ok(());
    }
    let changes = diff(&table.rows(), rows);
    let denied: BTreeSet<&str> = changes
        .iter()
        .flat_map(affected_rows)
        .filter(|row| !access.may_edit_owner(&row.owner))
        .map(|row| row.service.as_str())
        .collect();
    if denied.is_empty() {
        return Ok(());
    }
    let services: Vec<_> = denied.into_iter().collect();
    Err(EditRefusal {
        reason: RefusalReason::Forbidden,
        message: format!(
            "token `{}` has no permission for the owner of service {}",
            access.name,
            services.join(", ")
        ),
    })
}

fn affected_rows(change: &Change) -> Vec<&Row> {
    match change {
        Change::Added { row } | Change::Removed { row } => vec![row],
        Change::Changed { from, to } => vec![from, to],
    }
}
