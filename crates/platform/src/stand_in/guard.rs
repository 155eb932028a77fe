//! Request guards: bearer token and precondition headers.

use std::sync::Arc;

use rocket::http::Status;
use rocket::outcome::Outcome;
use rocket::request::{FromRequest, Request};
use subtle::ConstantTimeEq;

use super::shared::Shared;
use crate::{Precondition, Revision};

/// A client that sent the correct token, or any client if no token is configured.
pub(super) struct AuthorizedClient;

#[rocket::async_trait]
impl<'r> FromRequest<'r> for AuthorizedClient {
    type Error = ();

    async fn from_request(req: &'r Request<'_>) -> Outcome<AuthorizedClient, (Status, ()), Status> {
        let shared = req.rocket().state::<Arc<Shared>>();
        let Some(token) = shared.and_then(|s| s.token.as_deref()) else {
            return Outcome::Success(AuthorizedClient);
        };
        let given = req.headers().get_one("Authorization");
        let given = given.and_then(|text| text.strip_prefix("Bearer "));
        if given.is_some_and(|given| bool::from(given.as_bytes().ct_eq(token.as_bytes()))) {
            return Outcome::Success(AuthorizedClient);
        }
        Outcome::Error((Status::Unauthorized, ()))
    }
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Precondition {
    type Error = ();

    async fn from_request(req: &'r Request<'_>) -> Outcome<Precondition, (Status, ()), Status> {
        let headers = req.headers();
        if headers.get_one("If-None-Match") == Some("*") {
            return Outcome::Success(Precondition::Absent);
        }
        let Some(tag) = headers.get_one("If-Match") else {
            return Outcome::Success(Precondition::Any);
        };
        match tag.trim_matches('"').parse() {
            Ok(revision) => Outcome::Success(Precondition::Revision(Revision(revision))),
            Err(_) => Outcome::Error((Status::BadRequest, ())),
        }
    }
}
