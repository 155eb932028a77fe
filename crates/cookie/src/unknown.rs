//! Cookies that name no known target.

use std::time::Duration;

use hashbrown::HashMap;

use crate::Cookie;

/// Most cookies remembered; further ones are dropped without a time.
const MAX_COOKIES: usize = 4_096;

/// When each unknown cookie was first seen.
#[derive(Debug, Default)]
pub(crate) struct UnknownCookies {
    first_seen: HashMap<Cookie, Duration>,
}

impl UnknownCookies {
    /// How long the cookie has been unknown.
    pub fn age(&mut self, now: Duration, cookie: Cookie) -> Duration {
        if self.first_seen.len() >= MAX_COOKIES && !self.first_seen.contains_key(&cookie) {
            return Duration::ZERO;
        }
        let first = *self.first_seen.entry(cookie).or_insert(now);
        now.saturating_sub(first)
    }

    /// Forgets the cookies first seen longer ago than `age`.
    pub fn sweep(&mut self, now: Duration, age: Duration) {
        self.first_seen
            .retain(|_, first| now.saturating_sub(*first) < age);
    }
}
