//! Settings that change while the balancer runs.

use std::path::PathBuf;
use std::time::{Duration, SystemTime};

use sequoiatrail_events::Event;
use sequoiatrail_settings::{Settings, load};

use super::shared::Shared;
use super::start::config;

/// Time between two looks at the file, which may change without a signal.
const LOOK_EVERY: Duration = Duration::from_secs(2);

/// Reads the settings again after a signal or a change of the file.
pub(super) struct Reloader {
    file: PathBuf,
    in_force: Settings,
    modified: Option<SystemTime>,
    looked: Duration,
}

impl Reloader {
    pub fn new(file: PathBuf, in_force: Settings) -> Reloader {
        let modified = modified(&file);
        Reloader {
            file,
            in_force,
            modified,
            looked: Duration::ZERO,
        }
    }

    /// Looks whether there is something to read.
    pub fn tick(&mut self, shared: &Shared, hung_up: bool) {
        let now = shared.clock.now();
        if !hung_up && now < self.looked + LOOK_EVERY {
            return;
        }
        self.looked = now;
        let modified = modified(&self.file);
        if !hung_up && modified == self.modified {
            return;
        }
        self.modified = modified;
        self.read(shared);
    }

    fn read(&mut self, shared: &Shared) {
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
        let change = Change::between(&self.in_force, &loaded.settings);
        if change.platform {
            shared.use_store(&loaded.settings.platform);
        }
        if change.decisions {
            shared.lock().configure(config(&loaded.settings));
        }
        shared.log.emit(Event::SettingsReloaded {
            applied: change.applied().join(" "),
            pending: change.pending.join(" "),
        });
        self.in_force = loaded.settings;
    }
}

/// What differs between two settings.
struct Change {
    /// The store is elsewhere; it is asked there from the next call on.
    platform: bool,
    /// Settings of the decisions.
    decisions: bool,
    /// Sections with keys that need a restart.
    pending: Vec<&'static str>,
}

impl Change {
    fn between(old: &Settings, new: &Settings) -> Change {
        let (a, b) = (&old.cookie, &new.cookie);
        let decisions = a.failure_domain != b.failure_domain
            || a.flow_max_age_s != b.flow_max_age_s
            || old.data.max_flows != new.data.max_flows;
        let sockets = a.http_listen != b.http_listen
            || a.metrics_listen != b.metrics_listen
            || a.peers_listen != b.peers_listen
            || a.readiness_path != b.readiness_path
            || a.caller_port != b.caller_port;
        let timing = a.stop_grace_s != b.stop_grace_s || a.watch_wait_ms != b.watch_wait_ms;
        let sections = [
            ("node", old.node != new.node),
            (
                "data",
                old.data.listen != new.data.listen || old.data.format != new.data.format,
            ),
            ("cookie", sockets || timing),
            ("peers", old.peers != new.peers),
            ("log", old.log != new.log),
        ];
        let pending = sections.into_iter().filter(|(_, changed)| *changed);
        Change {
            platform: old.platform != new.platform,
            decisions,
            pending: pending.map(|(name, _)| name).collect(),
        }
    }

    fn applied(&self) -> Vec<&'static str> {
        let applied = [("platform", self.platform), ("cookie", self.decisions)];
        let applied = applied.into_iter().filter(|(_, changed)| *changed);
        applied.map(|(name, _)| name).collect()
    }
}

fn modified(file: &PathBuf) -> Option<SystemTime> {
    std::fs::metadata(file).and_then(|m| m.modified()).ok()
}
