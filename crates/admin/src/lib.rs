//! The administration API of a balancer, over HTTP.
//!
//! [`launch`] serves it; what it shows and changes comes from the closures of
//! an [`AdminBackend`], so that this crate knows nothing of the process around
//! it. Nothing is shown without a token for reading, and nothing is changed
//! without a token for editing, which may be bound to owners of services.

mod config;
mod error;
mod guard;
mod ownership;
mod report;
mod response;
mod routes;
mod server;
mod state;
mod token;

pub use config::AdminConfig;
pub use error::{Error, Result};
pub use report::{
    BalancerReport, BalancerState, CheckReply, DrainReply, EditReply, ExplainQuery, Explanation,
    FlowReport, Readiness, RowPatch, ServiceReport, Status, TableView, TargetReport,
};
pub use server::{AdminServer, launch};
pub use state::{AdminBackend, AuditRecord, EditFn, ExplainFn, RowsFn};
pub use token::{Access, Role, Token};
