//! Compact serialized form of the table, validated when it is deserialized.
//!
//! Service fields are stored once per service, and targets are arrays without
//! field names: the whole table has to fit into a value of 1 MiB and is sent
//! over links of a few kilobytes per second.

use std::net::{IpAddr, SocketAddr};

use sequoiatrail_types::{FailureDomain, HashSeed, Protocol, ServiceId, TableVersion, TargetId};
use serde::{Deserialize, Serialize};

use crate::check::check_rows;
use crate::error::StoredSnafu;
use crate::past_edits::PastEdits;
use crate::{EditId, Error, Result, Row, Service, Table, Target, TargetState};

/// Serialized form of [`Table`].
#[derive(Serialize, Deserialize)]
pub(crate) struct StoredTable {
    version: TableVersion,
    edit: EditId,
    past: PastEdits,
    seed: HashSeed,
    next_service: u32,
    next_target: u32,
    services: Vec<StoredService>,
}

#[derive(Serialize, Deserialize)]
struct StoredService {
    id: ServiceId,
    name: String,
    owner: String,
    address: SocketAddr,
    protocol: Protocol,
    /// Targets in ascending order of ID.
    targets: Vec<StoredTarget>,
}

/// ID, name, tunnel endpoint, failure domain, weight, max connections, slots,
/// state and drain limit in seconds.
#[derive(Serialize, Deserialize)]
struct StoredTarget(
    TargetId,
    String,
    SocketAddr,
    FailureDomain,
    u32,
    u32,
    u32,
    TargetState,
    u32,
);

impl From<Table> for StoredTable {
    fn from(table: Table) -> StoredTable {
        let service = |service: &Service| StoredService {
            id: service.id,
            name: service.name.clone(),
            owner: service.owner.clone(),
            address: service.address,
            protocol: service.protocol,
            targets: Vec::new(),
        };
        let mut services: Vec<_> = table.services.iter().map(service).collect();
        for target in table.targets {
            let at = services.binary_search_by_key(&target.service, |s| s.id);
            if let Ok(at) = at {
                services[at].targets.push(target.into());
            }
        }
        StoredTable {
            version: table.version,
            edit: table.edit,
            past: table.past_edits,
            seed: table.seed,
            next_service: table.next_service,
            next_target: table.next_target,
            services,
        }
    }
}

impl From<Target> for StoredTarget {
    fn from(target: Target) -> StoredTarget {
        let row = target.row;
        StoredTarget(
            target.id,
            row.target,
            row.target_address,
            row.failure_domain,
            row.weight,
            row.max_connections,
            row.slots,
            row.state,
            row.drain_limit_s,
        )
    }
}

impl TryFrom<StoredTable> for Table {
    type Error = Error;

    /// Fails if IDs are out of order or not yet allocated, or if the rows would
    /// be rejected in an edit.
    fn try_from(stored: StoredTable) -> Result<Table> {
        let mut table = Table {
            version: stored.version,
            edit: stored.edit,
            past_edits: stored.past,
            seed: stored.seed,
            next_service: stored.next_service,
            next_target: stored.next_target,
            services: Vec::new(),
            targets: Vec::new(),
        };
        for mut service in stored.services {
            let targets = std::mem::take(&mut service.targets);
            let targets = targets.into_iter();
            table
                .targets
                .extend(targets.map(|t| t.into_target(&service)));
            table.services.push(service.into());
        }
        table.targets.sort_by_key(|t| t.id);
        check_ids(&table)?;
        check_rows(&table.rows())?;
        Ok(table)
    }
}

impl StoredTarget {
    fn into_target(self, service: &StoredService) -> Target {
        let address: IpAddr = service.address.ip();
        Target {
            id: self.0,
            service: service.id,
            row: Row {
                service: service.name.clone(),
                owner: service.owner.clone(),
                address,
                port: service.address.port(),
                protocol: service.protocol,
                target: self.1,
                target_address: self.2,
                failure_domain: self.3,
                weight: self.4,
                max_connections: self.5,
                slots: self.6,
                state: self.7,
                drain_limit_s: self.8,
            },
        }
    }
}

impl From<StoredService> for Service {
    fn from(service: StoredService) -> Service {
        Service {
            id: service.id,
            name: service.name,
            owner: service.owner,
            address: service.address,
            protocol: service.protocol,
        }
    }
}

fn check_ids(table: &Table) -> Result<()> {
    let services = table.services.iter().map(|s| s.id.0);
    let targets = table.targets.iter().map(|t| t.id.0);
    if !ascending_below(services, table.next_service) {
        let reason = "service IDs must be ascending and below next_service";
        return StoredSnafu { reason }.fail();
    }
    if !ascending_below(targets, table.next_target) {
        let reason = "target IDs must be unique and below next_target";
        return StoredSnafu { reason }.fail();
    }
    Ok(())
}

/// Whether the IDs are strictly ascending and all below `end`.
fn ascending_below(ids: impl Iterator<Item = u32>, end: u32) -> bool {
    let mut min = 0;
    for id in ids {
        if id < min || id >= end {
            return false;
        }
        min = id + 1;
    }
    true
}
