//! State exchange with peer balancers.
//!
//! One thread polls peers; an HTTP server responds to them. Two more threads send and
//! receive reports of suspect targets, and one sends load reports. `sequoiatrail_cookie` selects the peer to poll
//! and decides what to apply of its response or report.

mod load;
mod load_message;
mod message;
mod poller;
mod reports;
mod server;
mod store_check;

pub(super) use load::LoadSender;
pub(super) use poller::Poller;
pub(super) use reports::{ReportSender, open_socket, receive};
pub(super) use server::{SharedPeers, start};
pub(super) use store_check::StoreCheckSender;
