//! Helpers shared by the tests.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sequoiatrail_platform::{
    Client, ClientConfig, Edit, EditConfig, StandIn, StandInConfig, Store,
};
use sequoiatrail_table::{EditId, Row, TargetState};
use sequoiatrail_types::{FailureDomain, Protocol, TableVersion};

pub fn stand_in() -> StandIn {
    let cfg = StandInConfig {
        allow_control: true,
        vm_lag: Duration::ZERO,
        ..StandInConfig::default()
    };
    StandIn::start(cfg).expect("a free port")
}

pub fn client(endpoint: SocketAddr) -> Arc<Client> {
    Arc::new(Client::new(ClientConfig {
        endpoint,
        call_timeout: Duration::from_millis(400),
        calls_per_second: 10_000.0,
        burst: 10_000.0,
        ..ClientConfig::default()
    }))
}

pub fn store(endpoint: SocketAddr) -> Arc<Store> {
    Arc::new(Store::new(client(endpoint)))
}

pub fn edit(id: &str, base: Option<u64>) -> Edit {
    Edit {
        id: EditId(id.into()),
        base: base.map(TableVersion),
        repeated: false,
    }
}

/// The same edit, retried after an unknown outcome.
pub fn as_retry(edit: Edit) -> Edit {
    Edit {
        repeated: true,
        ..edit
    }
}

pub fn edit_config() -> EditConfig {
    EditConfig {
        resolve_timeout: Duration::from_secs(2),
        ..EditConfig::default()
    }
}

pub fn row(target: &str, weight: u32) -> Row {
    let last = target.bytes().map(u32::from).sum::<u32>() % 250 + 1;
    Row {
        service: "crew".into(),
        owner: String::new(),
        address: [192, 0, 2, 1].into(),
        port: 443,
        protocol: Protocol::Tcp,
        target: target.into(),
        target_address: format!("198.51.100.{last}:6081").parse().unwrap(),
        failure_domain: FailureDomain(1),
        weight,
        max_connections: 2_000,
        slots: 2,
        state: TargetState::Started,
        drain_limit_s: 0,
    }
}
