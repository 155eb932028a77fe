//! Routes that change targets or the balancer, and the execution of edits.

use std::sync::Arc;

use rocket::tokio::task::spawn_blocking;
use rocket::{State, post};
use sequoiatrail_platform::{Edit, EditRefusal};
use sequoiatrail_table::{Row, Table, TargetState};
use sequoiatrail_types::RefusalReason;

use crate::guard::{EditHeaders, Editor};
use crate::response::ApiResponse;
use crate::shared::Shared;
use crate::{Access, AuditRecord, DrainReply, EditReply, ownership};

/// Retry delay when an edit is rejected as too many or aborted, in seconds.
const BUSY_RETRY_AFTER_S: u64 = 2;

/// An edit, the permissions of its token and its description for the audit log.
pub(super) struct EditRequest {
    pub(super) access: Access,
    pub(super) edit: Edit,
    pub(super) action: String,
}

#[post("/v1/targets/<service>/<target>/start")]
pub(crate) async fn start(
    editor: Editor,
    edit: EditHeaders,
    service: String,
    target: String,
    shared: &State<Arc<Shared>>,
) -> ApiResponse {
    set_target_state(editor, edit, service, target, TargetState::Started, shared).await
}

#[post("/v1/targets/<service>/<target>/stop")]
pub(crate) async fn stop(
    editor: Editor,
    edit: EditHeaders,
    service: String,
    target: String,
    shared: &State<Arc<Shared>>,
) -> ApiResponse {
    set_target_state(editor, edit, service, target, TargetState::Stopped, shared).await
}

/// Starts a graceful shutdown of this balancer. As this affects all owners, the
/// token must not be restricted to some of them.
#[post("/v1/drain")]
pub(crate) fn drain(editor: Editor, shared: &State<Arc<Shared>>) -> ApiResponse {
    let access = editor.0;
    if !access.may_edit_all() {
        let message = "a token restricted to owners cannot drain a balancer";
        return ApiResponse::refused(RefusalReason::Forbidden, message);
    }
    (shared.backend.drain)();
    (shared.backend.audit)(AuditRecord {
        token: access.name,
        action: "drain".to_owned(),
        verdict: "accepted",
        message: String::new(),
    });
    ApiResponse::json(&DrainReply { draining: true })
}

async fn set_target_state(
    editor: Editor,
    edit: EditHeaders,
    service: String,
    target: String,
    state: TargetState,
    shared: &State<Arc<Shared>>,
) -> ApiResponse {
    let request = EditRequest {
        access: editor.0,
        edit: edit.with_base(None),
        action: format!("target {service}/{target} {state}"),
    };
    run_edit(shared, request, move |table| {
        Ok(table.rows_with_change(&service, &target, |row| row.state = state)?)
    })
    .await
}

/// Runs an edit on a blocking thread. Rejects it immediately if too many are
/// running.
pub(super) async fn run_edit<F>(
    shared: &Arc<Shared>,
    request: EditRequest,
    mut compute_rows: F,
) -> ApiResponse
where
    F: FnMut(&Table) -> Result<Vec<Row>, EditRefusal> + Send + 'static,
{
    let Ok(permit) = Arc::clone(&shared.edit_permits).try_acquire_owned() else {
        return too_many_edits(request.edit).into();
    };
    let id = request.edit.id.clone();
    let shared = Arc::clone(shared);
    let task = move || {
        let _permit = permit;
        let reply = execute(&shared, &request, &mut compute_rows);
        audit(&shared, request, &reply);
        reply
    };
    let reply = spawn_blocking(task).await.unwrap_or_else(|e| {
        let message = format!("the edit was aborted: {e}");
        EditReply::Unknown {
            edit: id,
            message,
            come_back_s: BUSY_RETRY_AFTER_S,
        }
    });
    reply.into()
}

/// Rejects an edit because too many are running. A retried edit may have been
/// executed earlier, so its outcome is unknown.
fn too_many_edits(edit: Edit) -> EditReply {
    let message = "too many concurrent edits".to_owned();
    if edit.repeated {
        return EditReply::Unknown {
            edit: edit.id,
            message,
            come_back_s: BUSY_RETRY_AFTER_S,
        };
    }
    EditReply::NotRun {
        reason: RefusalReason::Unavailable,
        message,
        differing: Vec::new(),
        come_back_s: Some(BUSY_RETRY_AFTER_S),
    }
}

fn execute(
    shared: &Shared,
    request: &EditRequest,
    compute_rows: &mut dyn FnMut(&Table) -> Result<Vec<Row>, EditRefusal>,
) -> EditReply {
    let mut authorized_rows = |table: &Table| {
        let rows = compute_rows(table)?;
        // With another base the edit ends as a conflict. The difference would then
        // include changes of others, for which this token needs no permission.
        if request.edit.base.is_none_or(|base| base == table.version) {
            ownership::check_owners(&request.access, table, &rows)?;
        }
        Ok(rows)
    };
    let outcome = (shared.backend.edit)(&request.edit, &mut authorized_rows);
    EditReply::new(request.edit.id.clone(), outcome)
}

fn audit(shared: &Shared, request: EditRequest, reply: &EditReply) {
    let message = match reply {
        EditReply::Accepted { version, .. } => format!("version {version}"),
        EditReply::NotRun { message, .. } | EditReply::Unknown { message, .. } => message.clone(),
    };
    (shared.backend.audit)(AuditRecord {
        token: request.access.name,
        action: request.action,
        verdict: reply.verdict(),
        message,
    });
}
