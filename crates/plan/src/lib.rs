//! Bucket plans: which target each bucket of a service sends new flows to.
//!
//! The platform stores one plan per service. A plan is replaced only by a
//! conditional update on the version that it was computed from. [`Planner`] decides
//! when to propose a new plan and on which balancer, [`repair`] computes it.

mod error;
mod factor;
mod plan;
mod planner;
mod planner_settings;
mod progress;
mod rank;
mod repair;
mod stored;
mod trigger;

pub use error::{Error, Result};
pub use factor::{Factor, Factors};
pub use plan::{Bucket, NO_TARGET, Plan};
pub use planner::{Planner, Plans, Proposal};
pub use planner_settings::PlannerSettings;
pub use rank::rank;
pub use repair::{WeightedTarget, repair, weigh};
