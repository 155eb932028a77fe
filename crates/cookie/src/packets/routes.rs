//! Routes of the manifest in force.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use hashbrown::{HashMap, HashSet};
use sequoiatrail_types::StoreRevision;

use crate::{Manifest, Route};

/// A manifest version and where it comes from; later ones are greater.
///
/// A restored store may get the same version again with other content. The one that
/// was written later then replaces the other, so that all balancers end up alike.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ManifestVersion {
    // The order of the fields is the order of comparison.
    /// Version set by the operator; 0 for none.
    pub version: u64,
    /// Store revision at which it was written.
    pub at: StoreRevision,
}

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

/// The routes in force; their version never decreases.
#[derive(Debug, Default)]
pub struct Routes {
    in_force: ManifestVersion,
    flow_idle: Option<Duration>,
    /// New flows per second that a cold target bears, by service.
    cold_flows_per_s: HashMap<Arc<str>, f64>,
    by_address: HashMap<SocketAddrV4, Route>,
    /// Addresses whose route was removed since this process started.
    removed: HashSet<SocketAddrV4>,
}

impl Routes {
    /// Version in force; 0 before the first manifest.
    pub fn version(&self) -> u64 {
        self.in_force.version
    }

    /// Version in force and where it comes from.
    pub fn in_force(&self) -> ManifestVersion {
        self.in_force
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

    /// New flows per second that a cold target of a service bears; `None` if there is no
    /// limit.
    pub fn cold_flows_per_s(&self, service: &str) -> Option<f64> {
        self.cold_flows_per_s.get(service).copied()
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.by_address.len()
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.by_address.is_empty()
    }

    /// Applies a manifest that was written at `at` if it is newer than the one in
    /// force.
    pub fn apply(&mut self, manifest: &Manifest, at: StoreRevision) -> ManifestOutcome {
        let offered = ManifestVersion {
            version: manifest.version,
            at,
        };
        if offered <= self.in_force {
            return ManifestOutcome::Stale;
        }
        let replaced = std::mem::replace(&mut self.in_force, offered).version;
        if replaced == manifest.version && self.has_content(manifest) {
            return ManifestOutcome::Stale;
        }
        let routes = manifest.routes.iter();
        let new: HashMap<_, _> = routes.map(|r| (r.address, r.clone())).collect();
        let old = std::mem::replace(&mut self.by_address, new);
        self.removed.extend(old.into_keys());
        self.removed.retain(|a| !self.by_address.contains_key(a));
        self.flow_idle = Some(manifest.flow_idle);
        self.cold_flows_per_s = cold_rates(manifest);
        ManifestOutcome::Applied { replaced }
    }

    /// Whether the routes in force are those of the manifest.
    fn has_content(&self, manifest: &Manifest) -> bool {
        let same = |route: &Route| self.by_address.get(&route.address) == Some(route);
        self.flow_idle == Some(manifest.flow_idle)
            && self.by_address.len() == manifest.routes.len()
            && manifest.routes.iter().all(same)
            && self.cold_flows_per_s == cold_rates(manifest)
    }
}

fn cold_rates(manifest: &Manifest) -> HashMap<Arc<str>, f64> {
    let limits = manifest.services.iter();
    let limits = limits.filter_map(|l| Some((Arc::clone(&l.service), l.cold_flows_per_s?)));
    limits.collect()
}
