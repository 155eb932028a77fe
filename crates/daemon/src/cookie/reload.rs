//! Reloading of settings at runtime.

use std::path::PathBuf;
use std::time::{Duration, SystemTime};

use sequoiatrail_events::Event;
use sequoiatrail_settings::{CookieSettings, DataSettings, Settings, load};

use super::config::balancer_config;
use super::shared::Shared;

/// Interval between checks whether the settings file was modified without a SIGHUP.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Reloads the settings after a SIGHUP or a modification of the file.
pub(super) struct Reloader {
    file: PathBuf,
    /// The settings at the start; changes to some of them need a restart.
    started: Settings,
    current: Settings,
    modified: Option<SystemTime>,
    last_check: Duration,
}

impl Reloader {
    pub fn new(file: PathBuf, current: Settings) -> Reloader {
        let modified = modified(&file);
        Reloader {
            file,
            started: current.clone(),
            current,
            modified,
            last_check: Duration::ZERO,
        }
    }

    /// Reloads on SIGHUP or, at most once per [`CHECK_INTERVAL`], if the file was modified.
    pub fn tick(&mut self, shared: &Shared, sighup: bool) {
        let now = shared.clock.now();
        if !sighup && now < self.last_check + CHECK_INTERVAL {
            return;
        }
        self.last_check = now;
        let modified = modified(&self.file);
        if !sighup && modified == self.modified {
            return;
        }
        self.modified = modified;
        self.reload(shared);
    }

    fn reload(&mut self, shared: &Shared) {
        let loaded = match load(&self.file) {
            Ok(loaded) => loaded,
            Err(e) => {
                let error = e.to_string();
                shared.log.emit(Event::ReloadFailed { error });
                return;
            }
        };
        for key in loaded.unknown {
            let file = self.file.display().to_string();
            shared.log.emit(Event::UnknownSetting { file, key });
        }
        let diff = SettingsDiff::new(&self.started, &self.current, &loaded.settings);
        if diff.platform {
            shared.set_store(&loaded.settings.platform);
        }
        if diff.balancer {
            let cookie = CookieSettings {
                // Without its follower the list would never be known.
                evacuations: self.started.cookie.evacuations,
                ..loaded.settings.cookie.clone()
            };
            let settings = Settings {
                cookie,
                ..loaded.settings.clone()
            };
            shared.lock().configure(balancer_config(&settings));
        }
        shared.log.emit(Event::SettingsReloaded {
            applied: diff.applied().join(" "),
            pending: diff.pending.join(" "),
        });
        self.current = loaded.settings;
    }
}

/// What new settings change.
struct SettingsDiff {
    /// The store's endpoint; used from the next call on.
    platform: bool,
    /// Settings of the forwarding decisions.
    balancer: bool,
    /// Sections that differ from those at the start and need a restart.
    pending: Vec<&'static str>,
}

impl SettingsDiff {
    fn new(started: &Settings, current: &Settings, new: &Settings) -> SettingsDiff {
        let (a, b) = (&current.cookie, &new.cookie);
        let balancer = a.failure_domain != b.failure_domain
            || a.flow_max_age_s != b.flow_max_age_s
            || a.cold_flow_factor != b.cold_flow_factor
            || a.cold_flow_tolerance != b.cold_flow_tolerance
            || current.data.max_flows != new.data.max_flows;
        SettingsDiff {
            platform: current.platform != new.platform,
            balancer,
            pending: pending_sections(started, new),
        }
    }

    fn applied(&self) -> Vec<&'static str> {
        let applied = [("platform", self.platform), ("cookie", self.balancer)];
        let applied = applied.into_iter().filter(|(_, changed)| *changed);
        applied.map(|(name, _)| name).collect()
    }
}

/// Sections that differ in a setting that is only read at the start.
fn pending_sections(started: &Settings, new: &Settings) -> Vec<&'static str> {
    let (a, b) = (&started.cookie, &new.cookie);
    let cookie = CookieSettings {
        failure_domain: b.failure_domain.clone(),
        flow_max_age_s: b.flow_max_age_s,
        cold_flow_factor: b.cold_flow_factor,
        cold_flow_tolerance: b.cold_flow_tolerance,
        ..a.clone()
    };
    let data = DataSettings {
        max_flows: new.data.max_flows,
        ..started.data.clone()
    };
    let sections = [
        ("node", started.node != new.node),
        ("data", data != new.data),
        ("cookie", cookie != new.cookie),
        ("peers", started.peers != new.peers),
        ("log", started.log != new.log),
    ];
    let pending = sections.into_iter().filter(|(_, changed)| *changed);
    pending.map(|(name, _)| name).collect()
}

fn modified(file: &PathBuf) -> Option<SystemTime> {
    std::fs::metadata(file).and_then(|m| m.modified()).ok()
}
