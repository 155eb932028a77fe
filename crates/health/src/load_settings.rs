//! Settings of targets' load.

use std::time::Duration;

/// How load reports and counts become factors.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadSettings {
    /// Time between two calculations of factors while nothing else changes.
    pub interval: Duration,
    /// Time after which a report counts half.
    pub report_half_life: Duration,
    /// Weight of a new report against the ones before it, 0 to 1.
    pub report_gain: f64,
    /// Fewest targets of a service with a report; with fewer, reports are not compared.
    pub min_reports: usize,
    /// Exponent of the mean report over a target's own: below 1, so that
    /// reports that lag behind do not make the factor swing.
    pub report_exponent: f64,
    /// Smallest factor that reports alone can lead to.
    pub min_report_factor: f64,
    /// Largest factor that reports alone can lead to; 1, so that a report can
    /// take weight away from its target but not add any.
    pub max_report_factor: f64,
    /// Part of its share of the open flows below which a target is given more
    /// new ones to catch up.
    pub catch_up_threshold: f64,
    /// Largest factor of a target that catches up.
    pub max_catch_up: f64,
    /// Fewest open flows for each target of a service; with fewer, counts are not compared.
    pub min_flows: f64,
    /// Part of a row's limit of connections from which its target is full.
    pub full_threshold: f64,
    /// Part of the limit below which a full target is no longer full.
    pub full_clear_threshold: f64,
    /// Part of the limits of a service up to which it has room elsewhere; above
    /// it no target is kept out for being full.
    pub saturation_threshold: f64,
    /// Factor of a full target. New flows that still reach it go to the next
    /// target one by one, which costs more than a change of plan.
    pub full_factor: f64,
    /// Time after which a peer's counts that were not renewed no longer count.
    pub count_ttl: Duration,
    /// Factor of a target that has just started.
    pub slow_start_factor: f64,
    /// Time until a started target has its whole weight.
    pub slow_start_duration: Duration,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            interval: Duration::from_secs(2),
            report_half_life: Duration::from_secs(30),
            report_gain: 0.5,
            min_reports: 3,
            report_exponent: 0.5,
            min_report_factor: 0.7,
            max_report_factor: 1.0,
            catch_up_threshold: 0.85,
            max_catch_up: 2.0,
            min_flows: 400.0,
            full_threshold: 0.98,
            full_clear_threshold: 0.9,
            saturation_threshold: 0.8,
            full_factor: 0.1,
            count_ttl: Duration::from_secs(60),
            slow_start_factor: 0.5,
            slow_start_duration: Duration::from_secs(30),
        }
    }
}
