//! State exchange with peer balancers while the store does not respond.
//!
//! One thread polls peers; an HTTP server responds to them. `sequoiatrail_cookie`
//! selects the peer to poll and decides what to apply of its response.

mod message;
mod poller;
mod server;

pub(super) use poller::Poller;
pub(super) use server::{SharedPeers, start};
