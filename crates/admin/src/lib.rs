//! The administration API of a balancer, over HTTP.
//!
//! [`launch`] serves it. It accesses the balancer only through the callbacks of
//! an [`AdminBackend`], so this crate does not depend on the daemon. Apart from
//! health and readiness (and metrics, if configured), reads require a token, and
//! changes require an edit token, which may be restricted to owners of services.

mod backend;
mod config;
mod error;
mod guard;
mod ownership;
mod report;
mod response;
mod routes;
mod server;
mod shared;
mod token;

pub use backend::{AdminBackend, AuditRecord, EditFn, ExplainFn, RowsFn};
pub use config::AdminConfig;
pub use error::{Error, Result};
pub use report::{
    BalancerReport, BalancerState, CheckReply, DrainReply, EditReply, ExplainQuery, Explanation,
    FlowReport, Readiness, RowPatch, ServiceReport, Status, TableView, TargetReport,
};
pub use server::{AdminServer, launch};
pub use token::{Access, Role, Token};
