//! Settings that change while the balancer runs.

use std::path::PathBuf;
use std::time::{Duration, SystemTime};

use sequoiatrail_events::Event;
use sequoiatrail_settings::{Settings, load};

use super::shared::Shared;

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
        let pending = changed_sections(&self.in_force, &loaded.settings);
        shared.log.emit(Event::SettingsReloaded {
            applied: String::new(),
            pending: pending.join(" "),
        });
    }
}

fn modified(file: &PathBuf) -> Option<SystemTime> {
    std::fs::metadata(file).and_then(|m| m.modified()).ok()
}

fn changed_sections(old: &Settings, new: &Settings) -> Vec<&'static str> {
    let sections = [
        ("node", old.node != new.node),
        ("data", old.data != new.data),
        ("cookie", old.cookie != new.cookie),
        ("platform", old.platform != new.platform),
        ("log", old.log != new.log),
    ];
    let changed = sections.into_iter().filter(|(_, changed)| *changed);
    changed.map(|(name, _)| name).collect()
}
