//! Settings of target load.

use std::time::Duration;

/// How load reports and flow counts become factors.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadSettings {
    /// Interval between recalculations of the factors while nothing else changes.
    pub interval: Duration,
    /// Age at which the weight of a report has halved.
    pub report_half_life: Duration,
    /// Smoothing factor: weight of a new report against the earlier ones, 0 to 1.
    pub report_gain: f64,
    /// Minimum number of targets of a service with a report; with fewer, reports
    /// are not compared.
    pub min_reports: usize,
    /// Exponent of the ratio of the median report to the target's own. Below 1, so
    /// that delayed reports do not make the factor oscillate.
    pub report_exponent: f64,
    /// Minimum factor that reports alone can cause.
    pub min_report_factor: f64,
    /// Maximum factor that reports alone can cause; 1, so that a report can reduce
    /// the weight of its target but not raise it.
    pub max_report_factor: f64,
    /// Fraction of its fair share of the open flows below which a target gets more
    /// new flows to catch up.
    pub catch_up_threshold: f64,
    /// Maximum factor of a target that catches up.
    pub max_catch_up: f64,
    /// Minimum number of open flows per target of a service; with fewer, counts are
    /// not compared.
    pub min_flows: f64,
    /// Fraction of its connection limit from which a target is full.
    pub full_threshold: f64,
    /// Fraction of its connection limit below which a full target is no longer
    /// full; lower than `full_threshold` for hysteresis.
    pub full_clear_threshold: f64,
    /// Fraction of the total connection limit of a service above which the service
    /// is saturated and its targets are no longer marked full.
    pub saturation_threshold: f64,
    /// Factor of a full target. New flows that still reach it are passed on to the
    /// next target one by one, which costs more than a change of the plan.
    pub full_factor: f64,
    /// Time after which a count that was not renewed expires.
    pub count_ttl: Duration,
    /// Initial factor of a target that has just started.
    pub slow_start_factor: f64,
    /// Time until a started target has its full weight.
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
