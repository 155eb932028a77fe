//! Routes of the manifest in force.

use std::net::SocketAddrV4;
use std::time::Duration;

use hashbrown::{HashMap, HashSet};

use crate::{Manifest, Route};

/// Result of offering a manifest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ManifestOutcome {
    /// The manifest is now in force.
    Applied {
        /// Version that was replaced; 0 if there was none.
        replaced: u64,
    },
    /// Ignored: the version in force is the same or newer.
    Stale,
}

/// The routes in force; their version only increases.
#[derive(Debug, Default)]
pub struct Routes {
    version: u64,
    flow_idle: Option<Duration>,
    by_address: HashMap<SocketAddrV4, Route>,
    /// Addresses whose route was removed since this process started.
    removed: HashSet<SocketAddrV4>,
}

impl Routes {
    /// Version in force; 0 before the first manifest.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Idle timeout of flows; `None` before the first manifest.
    pub fn flow_idle(&self) -> Option<Duration> {
        self.flow_idle
    }

    /// The route at an address.
    pub fn get(&self, address: SocketAddrV4) -> Option<&Route> {
        self.by_address.get(&address)
    }

    /// Whether the route at this address was removed.
    pub fn was_removed(&self, address: SocketAddrV4) -> bool {
        self.removed.contains(&address)
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.by_address.len()
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.by_address.is_empty()
    }

    /// Applies a manifest if it is newer than the one in force.
    pub fn apply(&mut self, manifest: &Manifest) -> ManifestOutcome {
        if manifest.version <= self.version {
            return ManifestOutcome::Stale;
        }
        let replaced = std::mem::replace(&mut self.version, manifest.version);
        let routes = manifest.routes.iter();
        let new: HashMap<_, _> = routes.map(|r| (r.address, r.clone())).collect();
        let old = std::mem::replace(&mut self.by_address, new);
        self.removed.extend(old.into_keys());
        self.removed.retain(|a| !self.by_address.contains_key(a));
        self.flow_idle = Some(manifest.flow_idle);
        ManifestOutcome::Applied { replaced }
    }
}
