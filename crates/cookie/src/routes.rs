//! The manifest in force.

use std::net::SocketAddrV4;
use std::time::Duration;

use hashbrown::{HashMap, HashSet};

use crate::{Manifest, Route};

/// What became of a manifest that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ManifestOutcome {
    /// It is in force now.
    Applied {
        /// Version that it replaced; 0 for none.
        replaced: u64,
    },
    /// The version in force is the same or newer.
    Stale,
}

/// The routes in force; their version only rises.
#[derive(Debug, Default)]
pub struct Routes {
    version: u64,
    flow_idle: Option<Duration>,
    by_address: HashMap<SocketAddrV4, Route>,
    /// Addresses that had a route in this process and have none now.
    removed: HashSet<SocketAddrV4>,
}

impl Routes {
    /// Version in force; 0 before the first.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Idle time after which a flow may be forgotten.
    pub fn flow_idle(&self) -> Option<Duration> {
        self.flow_idle
    }

    /// The route at an address.
    pub fn get(&self, address: SocketAddrV4) -> Option<&Route> {
        self.by_address.get(&address)
    }

    /// Whether the address had a route that was removed.
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

    /// Puts a manifest in force if it is newer.
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
