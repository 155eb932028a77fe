//! Reading and editing the table.

use std::sync::Arc;

use rocket::http::{ContentType, Status};
use rocket::{State, get, patch, post, put};
use sequoiatrail_table::{EditId, Row, Table, diff, from_csv, to_csv};
use sequoiatrail_types::RefusalReason;

use super::edit::{Request, run};
use crate::guard::{EditName, Editor, IfMatch, Reader};
use crate::response::{ApiResponse, Kind};
use crate::server::Shared;
use crate::{CheckReply, RowPatch, TableView};

/// The table in force here, as JSON or, with `format=csv`, as CSV.
#[get("/v1/table?<format>")]
pub(crate) fn show(
    _reader: Reader,
    format: Option<&str>,
    shared: &State<Arc<Shared>>,
) -> Result<ApiResponse, ApiResponse> {
    let table = (shared.state.table)();
    let answer = match format.unwrap_or("json") {
        "json" => ApiResponse::json(&TableView::from(table.as_ref())),
        "csv" => {
            let fault = |e| ApiResponse::refused(RefusalReason::Unavailable, format!("{e}"));
            let text = to_csv(&table.rows()).map_err(fault)?;
            ApiResponse::text(Kind::Csv, text)
        }
        other => return Err(invalid(format!("format `{other}`; allowed: csv, json"))),
    };
    Ok(answer.with_etag(table.version.0))
}

/// What rows would change, without changing anything.
#[post("/v1/table/check", data = "<body>")]
pub(crate) fn check(
    _reader: Reader,
    kind: &ContentType,
    body: &str,
    shared: &State<Arc<Shared>>,
) -> Result<ApiResponse, ApiResponse> {
    let rows = read_rows(kind, body)?;
    let table = (shared.state.table)();
    table
        .with_rows(&rows, EditId::default())
        .map_err(|e| invalid(e.to_string()))?;
    Ok(ApiResponse::json(&CheckReply {
        version: table.version,
        changes: diff(&table.rows(), &rows),
    }))
}

/// Replaces all rows if the table still has the version of `If-Match`.
#[put("/v1/table", data = "<body>")]
pub(crate) async fn replace(
    editor: Editor,
    base: IfMatch,
    edit: EditName,
    kind: &ContentType,
    body: String,
    shared: &State<Arc<Shared>>,
) -> Result<ApiResponse, ApiResponse> {
    let rows = read_rows(kind, &body)?;
    let request = Request {
        access: editor.0,
        edit: edit.with_base(Some(base.0)),
        action: "replace table".to_owned(),
    };
    Ok(run(shared, request, move |_| Ok(rows.clone())).await)
}

/// Changes cells of one row, whatever the table's version.
#[patch("/v1/table/<service>/<target>", data = "<body>")]
pub(crate) async fn patch(
    editor: Editor,
    edit: EditName,
    service: String,
    target: String,
    body: String,
    shared: &State<Arc<Shared>>,
) -> Result<ApiResponse, ApiResponse> {
    let patch: RowPatch = serde_json::from_str(&body).map_err(|e| invalid(e.to_string()))?;
    let request = Request {
        access: editor.0,
        edit: edit.with_base(None),
        action: format!("edit row {service}/{target}"),
    };
    let rows = move |table: &Table| Ok(table.rows_with(&service, &target, |row| patch.apply(row))?);
    Ok(run(shared, request, rows).await)
}

fn read_rows(kind: &ContentType, body: &str) -> Result<Vec<Row>, ApiResponse> {
    if kind.is_csv() {
        return from_csv(body).map_err(|e| invalid(e.to_string()));
    }
    if kind.is_json() {
        return serde_json::from_str(body).map_err(|e| invalid(e.to_string()));
    }
    let message = "the body is neither text/csv nor application/json";
    Err(invalid(message).with_status(Status::UnsupportedMediaType))
}

fn invalid(message: impl Into<String>) -> ApiResponse {
    ApiResponse::refused(RefusalReason::Invalid, message)
}
