//! Settings of the forwarding decisions.

use std::sync::Arc;
use std::time::Duration;

use crate::{EvidenceConfig, HealthConfig, OverloadConfig, PlacementConfig, WarmupConfig};

/// Settings of a [`crate::Balancer`].
#[derive(Clone, Debug)]
pub struct Config {
    /// Failure domain of this VM.
    pub domain: Arc<str>,
    /// Idle timeout of flows while there is no manifest.
    pub flow_idle: Duration,
    /// Age after which a flow may be discarded. Unknown cookies are remembered for this
    /// time, and targets that are gone for this time plus the idle timeout.
    pub flow_max_age: Duration,
    /// Maximum number of tracked flows; further ones are forwarded untracked.
    pub max_flows: usize,
    /// Time for which packets with an unknown cookie are dropped before their flow
    /// is reset: another balancer may have learned of the target earlier.
    pub unknown_cookie_grace: Duration,
    /// Whether the operator's evacuations are followed: no flow is served before their
    /// list is known.
    pub follow_evacuations: bool,
    /// Quota of cold targets.
    pub warmup: WarmupConfig,
    /// Refusal of new flows of overloaded services.
    pub overload: OverloadConfig,
    /// Target selection.
    pub placement: PlacementConfig,
    /// Detection of silent targets.
    pub health: HealthConfig,
    /// Weighing of silence while packets are lost.
    pub evidence: EvidenceConfig,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            domain: Arc::from(""),
            flow_idle: Duration::from_secs(15),
            flow_max_age: Duration::from_secs(60),
            max_flows: 200_000,
            unknown_cookie_grace: Duration::from_secs(2),
            follow_evacuations: false,
            warmup: WarmupConfig::default(),
            overload: OverloadConfig::default(),
            placement: PlacementConfig::default(),
            health: HealthConfig::default(),
            evidence: EvidenceConfig::default(),
        }
    }
}
