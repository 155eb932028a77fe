//! Settings of the decisions, from the settings file.

use std::sync::Arc;
use std::time::Duration;

use sequoiatrail_cookie::{Config, OverloadConfig, WarmupConfig};
use sequoiatrail_settings::Settings;
use sequoiatrail_wire::Key;

/// Bytes per second in one Mbit/s.
const BYTES_PER_MBIT: f64 = 125_000.0;

/// Settings of the forwarding decisions.
pub(super) fn balancer_config(settings: &Settings) -> Config {
    Config {
        domain: Arc::from(settings.cookie.failure_domain.as_str()),
        flow_max_age: Duration::from_secs_f64(settings.cookie.flow_max_age_s),
        max_flows: settings.data.max_flows,
        follow_evacuations: settings.cookie.evacuations,
        warmup: WarmupConfig {
            overload_factor: settings.cookie.cold_flow_factor,
            tolerance: settings.cookie.cold_flow_tolerance,
        },
        overload: OverloadConfig {
            key: admission_key(settings),
            link_bytes_per_s: link_bytes_per_s(settings),
            ..OverloadConfig::default()
        },
        ..Config::default()
    }
}

/// Bytes per second that the VM's link carries, if the settings say so.
fn link_bytes_per_s(settings: &Settings) -> Option<f64> {
    let mbps = settings.cookie.link_mbps;
    (mbps > 0.0).then_some(mbps * BYTES_PER_MBIT)
}

/// Key of the order in which clients are refused, derived from the key that all
/// balancers share; 0 without one.
fn admission_key(settings: &Settings) -> u64 {
    let Ok(key) = Key::new(settings.peers.key.as_bytes()) else {
        return 0;
    };
    let tag = key.tag(&[b"admission"]);
    u64::from_be_bytes(std::array::from_fn(|n| tag[n]))
}
