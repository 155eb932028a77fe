//! Cookies that belong to no known target.

use std::time::Duration;

use hashbrown::HashMap;

use crate::Cookie;

/// Maximum number of tracked cookies; further ones have age zero, so their packets
/// are dropped.
const MAX_COOKIES: usize = 4_096;

/// When each unknown cookie was first seen.
#[derive(Debug, Default)]
pub(crate) struct UnknownCookies {
    first_seen: HashMap<Cookie, Duration>,
}

impl UnknownCookies {
    /// Time since the unknown cookie was first seen.
    pub fn age(&mut self, now: Duration, cookie: Cookie) -> Duration {
        if self.first_seen.len() >= MAX_COOKIES && !self.first_seen.contains_key(&cookie) {
            return Duration::ZERO;
        }
        let first = *self.first_seen.entry(cookie).or_insert(now);
        now.saturating_sub(first)
    }

    /// Removes cookies first seen longer than `age` ago.
    pub fn sweep(&mut self, now: Duration, age: Duration) {
        self.first_seen
            .retain(|_, first| now.saturating_sub(*first) < age);
    }
}
