//! Slow start of targets that have just begun to take new flows.

use std::time::Duration;

use crate::LoadSettings;

/// When a target began to take new flows.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) enum Ramp {
    /// Before this balancer looked; it is taken to be warm.
    #[default]
    Warm,
    /// At this time.
    Since(Duration),
    /// It takes none.
    Off,
}

impl Ramp {
    /// The ramp after the target was found to take new flows or not.
    pub fn next(self, now: Duration, takes: bool) -> Ramp {
        match (self, takes) {
            (_, false) => Ramp::Off,
            (Ramp::Off, true) => Ramp::Since(now),
            (ramp, true) => ramp,
        }
    }

    /// Share of its weight that a target is given, up to 1.
    pub fn ratio(self, now: Duration, settings: &LoadSettings) -> f64 {
        let Ramp::Since(start) = self else {
            return 1.0;
        };
        let age = now.saturating_sub(start).as_secs_f64();
        let part = age / settings.slow_start_duration.as_secs_f64();
        (settings.slow_start_factor + (1.0 - settings.slow_start_factor) * part).min(1.0)
    }
}
