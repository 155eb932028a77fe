//! News from other balancers while the store does not answer this one.
//!
//! One thread asks; an HTTP server answers. Whom to ask and what to take is
//! decided by `sequoiatrail_cookie`.

mod asker;
mod message;
mod server;

pub(super) use asker::Asker;
pub(super) use server::{Known, start};
