//! Health and load of targets, without I/O.
//!
//! [`Health`] combines probes, observations from peers and passive evidence from
//! flows into one state per target; no single source decides alone. [`Load`] turns
//! load reports and flow counts into the factors by which the planner scales target
//! weights.

mod evidence;
mod flap_damping;
mod health;
mod health_settings;
mod load;
mod load_settings;
mod ramp;
mod retry_budget;
mod schedule;
mod state;
mod target_load;

pub use evidence::ProbeOutcome;
pub use health::{Balancer, Health, HealthEvent};
pub use health_settings::HealthSettings;
pub use load::Load;
pub use load_settings::LoadSettings;
pub use retry_budget::{RetryBudget, RetryBudgetSettings};
pub use schedule::{Probe, probers};
