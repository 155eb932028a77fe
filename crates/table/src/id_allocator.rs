//! Allocates service and target IDs, which are stable across versions and never reused.

use std::collections::HashMap;
use std::net::SocketAddr;

use sequoiatrail_types::{Protocol, ServiceId, TargetId};

use crate::{Row, Service, Table, Target};

/// A service keeps its ID as long as this key is unchanged.
type ServiceKey<'a> = (&'a str, SocketAddr, Protocol);
/// A target keeps its ID as long as this key is unchanged.
type TargetKey<'a> = (ServiceId, &'a str, SocketAddr);

/// Assigns IDs to the rows of a new table version.
pub(crate) struct IdAllocator<'a> {
    old_services: HashMap<ServiceKey<'a>, ServiceId>,
    old_targets: HashMap<TargetKey<'a>, TargetId>,
    /// Services of the new version that already have an ID.
    assigned: HashMap<&'a str, ServiceId>,
    /// Next free service ID.
    pub(crate) next_service: u32,
    /// Next free target ID.
    pub(crate) next_target: u32,
    /// Services in order of their first row.
    pub(crate) services: Vec<Service>,
    /// Targets in row order.
    pub(crate) targets: Vec<Target>,
}

impl<'a> IdAllocator<'a> {
    /// Starts from the IDs of the previous version.
    pub(crate) fn new(old: &'a Table, next_service: u32, next_target: u32) -> Self {
        let services = old.services.iter();
        let targets = old.targets.iter();
        Self {
            old_services: services
                .map(|s| ((s.name.as_str(), s.address, s.protocol), s.id))
                .collect(),
            old_targets: targets
                .map(|t| (target_key(t.service, &t.row), t.id))
                .collect(),
            assigned: HashMap::new(),
            next_service,
            next_target,
            services: Vec::new(),
            targets: Vec::new(),
        }
    }

    /// Assigns an ID to the target of a row, and to its service on the first row of it.
    pub(crate) fn add(&mut self, row: &'a Row) {
        let service = self.service(row);
        let kept = self.old_targets.get(&target_key(service, row)).copied();
        let id = kept.unwrap_or_else(|| TargetId(allocate(&mut self.next_target)));
        self.targets.push(Target {
            id,
            service,
            row: row.clone(),
        });
    }

    fn service(&mut self, row: &'a Row) -> ServiceId {
        if let Some(known) = self.assigned.get(row.service.as_str()) {
            return *known;
        }
        let address = SocketAddr::new(row.address, row.port);
        let key = (row.service.as_str(), address, row.protocol);
        let kept = self.old_services.get(&key).copied();
        let id = kept.unwrap_or_else(|| ServiceId(allocate(&mut self.next_service)));
        self.assigned.insert(&row.service, id);
        self.services.push(Service {
            id,
            name: row.service.clone(),
            owner: row.owner.clone(),
            address,
            protocol: row.protocol,
        });
        id
    }
}

fn target_key(service: ServiceId, row: &Row) -> TargetKey<'_> {
    (service, row.target.as_str(), row.target_address)
}

fn allocate(next: &mut u32) -> u32 {
    let id = *next;
    *next += 1;
    id
}
