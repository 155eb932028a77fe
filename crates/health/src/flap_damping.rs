//! Flap damping: a target that goes down repeatedly is held down longer.

use std::time::Duration;

use crate::HealthSettings;

/// Flap penalty of one target.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FlapDamping {
    /// Down transitions, decayed with `penalty_half_life`.
    penalty: f64,
    /// Time of the last penalty update.
    updated_at: Duration,
}

impl FlapDamping {
    /// Records a down transition.
    pub fn record_down(&mut self, now: Duration, settings: &HealthSettings) {
        self.penalty = self.penalty_at(now, settings) + 1.0;
        self.updated_at = now;
    }

    /// Time that the target must stay healthy before it is marked up. Doubles with
    /// each recent down transition, up to `max_hold_down`.
    pub fn hold_down(&self, settings: &HealthSettings) -> Duration {
        let factor = (self.penalty - 1.0).max(0.0).exp2();
        let longest = settings.max_hold_down.as_secs_f64();
        let hold = settings.hold_down.as_secs_f64() * factor;
        Duration::from_secs_f64(hold.min(longest))
    }

    fn penalty_at(&self, now: Duration, settings: &HealthSettings) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        let half_life = settings.penalty_half_life.as_secs_f64();
        self.penalty * (-age / half_life).exp2()
    }
}
