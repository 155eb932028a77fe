//! Routes to read and edit the table.

use std::sync::Arc;

use rocket::http::{ContentType, Status};
use rocket::{State, get, patch, post, put};
use sequoiatrail_table::{EditId, Row, Table, diff, from_csv, to_csv};
use sequoiatrail_types::RefusalReason;

use super::edit::{EditRequest, run_edit};
use crate::guard::{EditHeaders, Editor, IfMatch, Reader};
use crate::response::{ApiResponse, Format};
use crate::shared::Shared;
use crate::{CheckReply, RowPatch, TableView};

/// The current table of this balancer as JSON, or as CSV with `format=csv`.
#[get("/v1/table?<format>")]
pub(crate) fn show(
    _reader: Reader,
    format: Option<&str>,
    shared: &State<Arc<Shared>>,
) -> Result<ApiResponse, ApiResponse> {
    let table = (shared.backend.table)();
    let response = match format.unwrap_or("json") {
        "json" => ApiResponse::json(&TableView::from(table.as_ref())),
        "csv" => {
            let unavailable = |e| ApiResponse::refused(RefusalReason::Unavailable, format!("{e}"));
            let text = to_csv(&table.rows()).map_err(unavailable)?;
            ApiResponse::text(Format::Csv, text)
        }
        other => return Err(invalid(format!("format `{other}`; allowed: csv, json"))),
    };
    Ok(response.with_etag(table.version.0))
}

/// Validates rows and returns the changes from the current table (dry run).
#[post("/v1/table/check", data = "<body>")]
pub(crate) fn check(
    _reader: Reader,
    content_type: &ContentType,
    body: &str,
    shared: &State<Arc<Shared>>,
) -> Result<ApiResponse, ApiResponse> {
    let rows = parse_rows(content_type, body)?;
    let table = (shared.backend.table)();
    table
        .with_rows(&rows, EditId::default())
        .map_err(|e| invalid(e.to_string()))?;
    Ok(ApiResponse::json(&CheckReply {
        version: table.version,
        changes: diff(&table.rows(), &rows),
    }))
}

/// Replaces all rows if the table version matches `If-Match`.
#[put("/v1/table", data = "<body>")]
pub(crate) async fn replace(
    editor: Editor,
    base: IfMatch,
    edit: EditHeaders,
    content_type: &ContentType,
    body: String,
    shared: &State<Arc<Shared>>,
) -> Result<ApiResponse, ApiResponse> {
    let rows = parse_rows(content_type, &body)?;
    let request = EditRequest {
        access: editor.0,
        edit: edit.with_base(Some(base.0)),
        action: "replace table".to_owned(),
    };
    Ok(run_edit(shared, request, move |_| Ok(rows.clone())).await)
}

/// Changes fields of one row, regardless of the table version.
#[patch("/v1/table/<service>/<target>", data = "<body>")]
pub(crate) async fn patch(
    editor: Editor,
    edit: EditHeaders,
    service: String,
    target: String,
    body: String,
    shared: &State<Arc<Shared>>,
) -> Result<ApiResponse, ApiResponse> {
    let patch: RowPatch = serde_json::from_str(&body).map_err(|e| invalid(e.to_string()))?;
    let request = EditRequest {
        access: editor.0,
        edit: edit.with_base(None),
        action: format!("edit row {service}/{target}"),
    };
    let rows =
        move |table: &Table| Ok(table.rows_with_change(&service, &target, |row| patch.apply(row))?);
    Ok(run_edit(shared, request, rows).await)
}

fn parse_rows(content_type: &ContentType, body: &str) -> Result<Vec<Row>, ApiResponse> {
    if content_type.is_csv() {
        return from_csv(body).map_err(|e| invalid(e.to_string()));
    }
    if content_type.is_json() {
        return serde_json::from_str(body).map_err(|e| invalid(e.to_string()));
    }
    let message = "unsupported content type; allowed: text/csv, application/json";
    Err(invalid(message).with_status(Status::UnsupportedMediaType))
}

fn invalid(message: impl Into<String>) -> ApiResponse {
    ApiResponse::refused(RefusalReason::Invalid, message)
}
