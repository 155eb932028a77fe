//! Request guards: tokens, versions and edit identifiers.

use std::sync::Arc;

use rocket::http::Status;
use rocket::outcome::Outcome;
use rocket::request::{FromRequest, Request};
use sequoiatrail_platform::Edit;
use sequoiatrail_table::EditId;
use sequoiatrail_types::TableVersion;

use crate::Access;
use crate::shared::Shared;

/// Maximum length of an edit identifier, in bytes.
const MAX_EDIT_ID_BYTES: usize = 128;

/// Authorizes requests with any known token.
pub(crate) struct Reader;

/// Authorizes requests with an edit token.
pub(crate) struct Editor(pub(crate) Access);

/// Authorizes requests for metrics: any known token, or everyone if configured.
pub(crate) struct MetricsReader;

/// Table version from the `If-Match` header.
pub(crate) struct IfMatch(pub(crate) TableVersion);

/// Identity of an edit, from the `Edit-Id` and `Edit-Repeated` headers.
pub(crate) struct EditHeaders {
    /// Identifier chosen by the client, or a random one.
    pub(crate) id: EditId,
    /// Whether the client retries an edit whose outcome it does not know.
    pub(crate) repeated: bool,
}

impl EditHeaders {
    /// The edit based on a version, or on the current one if `None`.
    pub(crate) fn with_base(self, base: Option<TableVersion>) -> Edit {
        Edit {
            id: self.id,
            base,
            repeated: self.repeated,
        }
    }
}

type GuardOutcome<T> = Outcome<T, (Status, ()), Status>;

fn shared<'r>(req: &'r Request<'_>) -> Option<&'r Arc<Shared>> {
    req.rocket().state::<Arc<Shared>>()
}

fn access(req: &Request<'_>) -> Option<Access> {
    let header = req.headers().get_one("Authorization")?;
    let secret = header.strip_prefix("Bearer ")?.trim();
    shared(req)?.tokens.find(secret).cloned()
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Reader {
    type Error = ();

    async fn from_request(req: &'r Request<'_>) -> GuardOutcome<Reader> {
        match access(req) {
            Some(_) => Outcome::Success(Reader),
            None => Outcome::Error((Status::Unauthorized, ())),
        }
    }
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Editor {
    type Error = ();

    async fn from_request(req: &'r Request<'_>) -> GuardOutcome<Editor> {
        match access(req) {
            Some(access) if access.may_edit() => Outcome::Success(Editor(access)),
            Some(_) => Outcome::Error((Status::Forbidden, ())),
            None => Outcome::Error((Status::Unauthorized, ())),
        }
    }
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for MetricsReader {
    type Error = ();

    async fn from_request(req: &'r Request<'_>) -> GuardOutcome<MetricsReader> {
        let is_public = shared(req).is_some_and(|s| s.cfg.open_metrics);
        if is_public || access(req).is_some() {
            return Outcome::Success(MetricsReader);
        }
        Outcome::Error((Status::Unauthorized, ()))
    }
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for IfMatch {
    type Error = ();

    async fn from_request(req: &'r Request<'_>) -> GuardOutcome<IfMatch> {
        let Some(tag) = req.headers().get_one("If-Match") else {
            return Outcome::Error((Status::PreconditionRequired, ()));
        };
        match tag.trim().trim_matches('"').parse() {
            Ok(version) => Outcome::Success(IfMatch(TableVersion(version))),
            Err(_) => Outcome::Error((Status::BadRequest, ())),
        }
    }
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for EditHeaders {
    type Error = ();

    async fn from_request(req: &'r Request<'_>) -> GuardOutcome<EditHeaders> {
        let repeated = req.headers().get_one("Edit-Repeated") == Some("true");
        let Some(id) = req.headers().get_one("Edit-Id") else {
            let id = format!("{:032x}", rand::random::<u128>());
            return Outcome::Success(EditHeaders {
                id: EditId(id),
                repeated: false,
            });
        };
        if id.is_empty() || id.len() > MAX_EDIT_ID_BYTES {
            return Outcome::Error((Status::BadRequest, ()));
        }
        Outcome::Success(EditHeaders {
            id: EditId(id.to_owned()),
            repeated,
        })
    }
}
