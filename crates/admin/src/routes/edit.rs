//! Requests that change something.

use std::sync::Arc;

use rocket::tokio::task::spawn_blocking;
use rocket::{State, post};
use sequoiatrail_platform::{Edit, EditRefusal};
use sequoiatrail_table::{Row, Table, TargetState};
use sequoiatrail_types::RefusalReason;

use crate::guard::{EditName, Editor};
use crate::response::ApiResponse;
use crate::server::Shared;
use crate::{Access, AuditRecord, DrainReply, EditReply, ownership};

/// Seconds to come back when too many edits are worked on.
const BUSY_COME_BACK_S: u64 = 2;

/// An edit with the right to make it and its name for the log.
pub(super) struct Request {
    pub(super) access: Access,
    pub(super) edit: Edit,
    pub(super) action: String,
}

#[post("/v1/targets/<service>/<target>/start")]
pub(crate) async fn start(
    editor: Editor,
    edit: EditName,
    service: String,
    target: String,
    shared: &State<Arc<Shared>>,
) -> ApiResponse {
    set_state(editor, edit, service, target, TargetState::Started, shared).await
}

#[post("/v1/targets/<service>/<target>/stop")]
pub(crate) async fn stop(
    editor: Editor,
    edit: EditName,
    service: String,
    target: String,
    shared: &State<Arc<Shared>>,
) -> ApiResponse {
    set_state(editor, edit, service, target, TargetState::Stopped, shared).await
}

/// Begins a graceful stop of this balancer; it serves all owners.
#[post("/v1/drain")]
pub(crate) fn drain(editor: Editor, shared: &State<Arc<Shared>>) -> ApiResponse {
    let access = editor.0;
    if !access.may_edit_all() {
        let message = "a token bound to owners may not stop a balancer";
        return ApiResponse::refused(RefusalReason::Forbidden, message);
    }
    (shared.state.drain)();
    (shared.state.audit)(AuditRecord {
        token: access.name,
        action: "drain".to_owned(),
        verdict: "accepted",
        message: String::new(),
    });
    ApiResponse::json(&DrainReply { draining: true })
}

async fn set_state(
    editor: Editor,
    edit: EditName,
    service: String,
    target: String,
    state: TargetState,
    shared: &State<Arc<Shared>>,
) -> ApiResponse {
    let request = Request {
        access: editor.0,
        edit: edit.with_base(None),
        action: format!("target {service}/{target} {state}"),
    };
    run(shared, request, move |table| {
        Ok(table.rows_with(&service, &target, |row| row.state = state)?)
    })
    .await
}

/// Makes an edit on a thread that may block; refuses at once if too many are
/// worked on already.
pub(super) async fn run<F>(shared: &Arc<Shared>, request: Request, mut rows: F) -> ApiResponse
where
    F: FnMut(&Table) -> Result<Vec<Row>, EditRefusal> + Send + 'static,
{
    let Ok(permit) = Arc::clone(&shared.edits).try_acquire_owned() else {
        return busy(request.edit).into();
    };
    let id = request.edit.id.clone();
    let shared = Arc::clone(shared);
    let edit = move || {
        let _permit = permit;
        let answer = edit(&shared, &request, &mut rows);
        note(&shared, request, &answer);
        answer
    };
    let answer = spawn_blocking(edit).await.unwrap_or_else(|e| {
        let message = format!("the edit ended early: {e}");
        EditReply::Unknown {
            edit: id,
            message,
            come_back_s: BUSY_COME_BACK_S,
        }
    });
    answer.into()
}

/// The answer when too many edits are worked on.
fn busy(edit: Edit) -> EditReply {
    let message = "too many edits at once".to_owned();
    if edit.repeated {
        return EditReply::Unknown {
            edit: edit.id,
            message,
            come_back_s: BUSY_COME_BACK_S,
        };
    }
    EditReply::NotRun {
        reason: RefusalReason::Unavailable,
        message,
        differing: Vec::new(),
        come_back_s: Some(BUSY_COME_BACK_S),
    }
}

fn edit(
    shared: &Shared,
    request: &Request,
    rows: &mut dyn FnMut(&Table) -> Result<Vec<Row>, EditRefusal>,
) -> EditReply {
    let mut checked = |table: &Table| {
        let rows = rows(table)?;
        // Another base is a conflict; its rows are not this editor's changes.
        if request.edit.base.is_none_or(|base| base == table.version) {
            ownership::check(&request.access, table, &rows)?;
        }
        Ok(rows)
    };
    let outcome = (shared.state.edit)(&request.edit, &mut checked);
    EditReply::new(request.edit.id.clone(), outcome)
}

fn note(shared: &Shared, request: Request, answer: &EditReply) {
    let message = match answer {
        EditReply::Accepted { version, .. } => format!("version {version}"),
        EditReply::NotRun { message, .. } | EditReply::Unknown { message, .. } => message.clone(),
    };
    (shared.state.audit)(AuditRecord {
        token: request.access.name,
        action: request.action,
        verdict: answer.verdict(),
        message,
    });
}
