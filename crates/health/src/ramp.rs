//! Slow start of targets that begin to take new flows.

use std::time::Duration;

use crate::LoadSettings;

/// Slow-start state of a target.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) enum Ramp {
    /// Already took new flows when this balancer started; has its full weight.
    #[default]
    Warm,
    /// Takes new flows since this time.
    Since(Duration),
    /// Takes no new flows.
    Off,
}

impl Ramp {
    /// The state after an update of whether the target takes new flows.
    pub fn next(self, now: Duration, takes: bool) -> Ramp {
        match (self, takes) {
            (_, false) => Ramp::Off,
            (Ramp::Off, true) => Ramp::Since(now),
            (ramp, true) => ramp,
        }
    }

    /// Fraction of its weight that the target has now, up to 1.
    pub fn ratio(self, now: Duration, settings: &LoadSettings) -> f64 {
        let Ramp::Since(start) = self else {
            return 1.0;
        };
        let age = now.saturating_sub(start).as_secs_f64();
        let part = age / settings.slow_start_duration.as_secs_f64();
        (settings.slow_start_factor + (1.0 - settings.slow_start_factor) * part).min(1.0)
    }
}
