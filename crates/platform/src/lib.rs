//! Client for the platform's object API, and an in-memory stand-in for it.
//!
//! [`Client`] sends single requests; its errors tell whether a request may have
//! run. [`Store`] gives typed access to the load balancer's objects: the service
//! table, a plan per service and a status per balancer. [`Follower`] keeps a
//! process up to date without a thundering herd after an outage. [`StandIn`]
//! serves the same API from memory and injects faults.

mod backoff;
mod breaker;
mod client;
mod client_config;
mod edit;
mod editor;
mod error;
mod follow;
mod follower;
mod http_server;
mod keys;
mod object;
mod parse;
mod stale;
mod stand_in;
mod status;
mod store;
mod token_bucket;
mod verification;

pub use backoff::{Backoff, BackoffConfig};
pub use breaker::{Breaker, BreakerConfig};
pub use client::Client;
pub use client_config::ClientConfig;
pub use edit::{Edit, EditConfig, EditOutcome, EditRefusal};
pub use error::{Error, Result};
pub use follow::{FollowConfig, FollowState, Step};
pub use follower::{Follower, StoreEvent};
pub use http_server::{HttpServer, StartError, http_config};
pub use keys::{BALANCERS_PREFIX, KeyKind, PLANS_PREFIX, TABLE_KEY, kind_of};
pub use object::{
    Changes, Listing, MAX_VALUE_BYTES, Object, ObjectChange, Precondition, Refusal, Revision, Vm,
    VmState, WriteResponse,
};
pub use parse::{RawResponse, Reply, parse};
pub use stale::StaleStatusTracker;
pub use stand_in::{
    Admission, CallCounts, CallKind, Faults, Objects, ObjectsError, Outage, StandIn, StandInConfig,
    StandInService,
};
pub use status::BalancerStatus;
pub use store::{Store, Stored};
pub use token_bucket::TokenBucket;
pub use ureq::http::{HeaderMap, HeaderName, HeaderValue, Method};
pub use verification::{Verification, VerificationConfig};
