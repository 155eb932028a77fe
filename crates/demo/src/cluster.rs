//! A cluster of real daemons with fake targets and an in-memory platform.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use sequoiatrail_daemon::{Daemon, StopReport};
use sequoiatrail_events::Log;
use sequoiatrail_platform::{
    Client, ClientConfig, Edit, EditOutcome, StandIn, StandInConfig, Store,
};
use sequoiatrail_settings::{
    AdminSettings, DataSettings, HealthSettings, NodeSettings, PeersSettings, PlatformSettings,
    Probe, Settings, StopSettings,
};
use sequoiatrail_table::{EditId, Row, TargetState};
use sequoiatrail_types::{FailureDomain, Protocol, TableVersion};
use snafu::ResultExt;

use crate::error::{BalancerSnafu, PlatformSnafu, TimeoutSnafu};
use crate::{Ledger, Result, TunnelEndpoint};

/// Timeout for all balancers to apply a change, in seconds.
const CONVERGENCE_TIMEOUT_S: u64 = 10;
/// Interval at which the balancers are polled.
const POLL: Duration = Duration::from_millis(20);
/// Authentication key of the messages between balancers.
const PEER_KEY: &str = "demonstration key of the balancers";
/// Port of the services.
const SERVICE_PORT: u16 = 443;

/// Size of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// Number of balancers.
    pub balancers: usize,
    /// Number of targets of each service; the length is the number of services.
    pub targets: Vec<usize>,
    /// Protocol of the services.
    pub protocol: Protocol,
    /// Whether balancers, targets and clients use IPv6.
    pub ipv6: bool,
    /// Health probe of the targets.
    pub probe: Probe,
    /// Log of the balancers.
    pub log: Log,
}

impl Default for ClusterConfig {
    fn default() -> Self {
        Self {
            balancers: 3,
            targets: vec![4, 2],
            protocol: Protocol::Tcp,
            ipv6: false,
            probe: Probe::None,
            log: Log::discard(),
        }
    }
}

/// A running cluster.
pub struct Cluster {
    /// `None` for a stopped balancer. Declared before the platform, so they are
    /// dropped before it.
    balancers: Vec<Option<Daemon>>,
    platform: StandIn,
    store: Store,
    /// `None` for a target that was killed.
    targets: Vec<Option<TunnelEndpoint>>,
    rows: Vec<Row>,
    edits: u32,
    ledger: Arc<Ledger>,
    cfg: ClusterConfig,
}

impl Cluster {
    /// Starts platform, targets and balancers, and waits until all balancers have the
    /// table and its plans.
    pub fn start(cfg: &ClusterConfig) -> Result<Cluster> {
        let platform = match StandIn::start(StandInConfig::default()) {
            Ok(platform) => platform,
            Err(e) => return platform_error("stand-in", e.to_string()),
        };
        let client = Client::new(ClientConfig {
            endpoint: platform.addr(),
            ..ClientConfig::default()
        });
        let ledger = Arc::new(Ledger::default());
        let (targets, rows) = start_targets(cfg, &ledger)?;
        let mut cluster = Cluster {
            store: Store::new(Arc::new(client)),
            platform,
            balancers: Vec::new(),
            targets,
            rows,
            edits: 0,
            ledger,
            cfg: cfg.clone(),
        };
        cluster.edit(|_| {})?;
        for _ in 0..cfg.balancers {
            cluster.add_balancer()?;
        }
        cluster.wait_until_converged(TableVersion(1))?;
        cluster.wait_for_peers(cfg.balancers)?;
        Ok(cluster)
    }

    /// Starts one more balancer.
    pub fn add_balancer(&mut self) -> Result<usize> {
        let settings = self.settings(self.balancers.len());
        let daemon = Daemon::start(settings, self.cfg.log.clone()).context(BalancerSnafu)?;
        self.balancers.push(Some(daemon));
        Ok(self.balancers.len() - 1)
    }

    /// The platform, for fault injection.
    pub fn platform(&self) -> &StandIn {
        &self.platform
    }

    /// Record of the packets at the targets.
    pub fn ledger(&self) -> &Arc<Ledger> {
        &self.ledger
    }

    /// The rows of the table.
    pub fn rows(&self) -> &[Row] {
        &self.rows
    }

    /// Addresses of the services.
    pub fn services(&self) -> Vec<SocketAddr> {
        let address = |row: &Row| SocketAddr::new(row.address, row.port);
        let mut services: Vec<_> = self.rows.iter().map(address).collect();
        services.dedup();
        services
    }

    /// A balancer; `None` if it was stopped.
    pub fn balancer(&self, index: usize) -> Option<&Daemon> {
        self.balancers.get(index)?.as_ref()
    }

    /// The running balancers.
    pub fn running(&self) -> impl Iterator<Item = &Daemon> {
        self.balancers.iter().flatten()
    }

    /// Addresses at which the running balancers receive packets from the fabric.
    pub fn ingress_addresses(&self) -> Vec<SocketAddr> {
        self.running().map(Daemon::listen).collect()
    }

    /// Stops a balancer gracefully; blocks until it has stopped.
    pub fn stop_balancer(&mut self, index: usize) -> Option<StopReport> {
        let daemon = self.balancers.get_mut(index)?.take()?;
        Some(daemon.stop())
    }

    /// Removes a balancer from the cluster, for the caller to stop.
    pub fn take_balancer(&mut self, index: usize) -> Option<Daemon> {
        self.balancers.get_mut(index)?.take()
    }

    /// Stops a balancer abruptly, as a crash would.
    pub fn kill_balancer(&mut self, index: usize) {
        drop(self.take_balancer(index));
    }

    /// Stops a target abruptly, as a crash would.
    pub fn kill_target(&mut self, index: usize) {
        self.targets[index] = None;
    }

    /// Waits until every running balancer considers `count` targets down.
    pub fn wait_until_down(&self, count: usize) -> Result<Duration> {
        self.wait_until("detection of a dead target by all balancers", |daemon| {
            daemon.targets_down() == count
        })
    }

    /// Stops a target, so that it gets no new flows.
    pub fn stop_target(&mut self, index: usize) -> Result<TableVersion> {
        self.edit(|rows| rows[index].state = TargetState::Stopped)
    }

    /// Starts a target again.
    pub fn start_target(&mut self, index: usize) -> Result<TableVersion> {
        self.edit(|rows| rows[index].state = TargetState::Started)
    }

    /// Edits the table on the platform.
    pub fn edit(&mut self, change: impl FnOnce(&mut [Row])) -> Result<TableVersion> {
        change(&mut self.rows);
        self.edits += 1;
        let edit = Edit {
            id: EditId(format!("demonstration-{}", self.edits)),
            base: None,
            repeated: false,
        };
        let rows = self.rows.clone();
        match self.store.edit_table(&edit, |_| Ok(rows.clone())) {
            EditOutcome::Accepted { version } => Ok(version),
            EditOutcome::NotRun { message, .. } | EditOutcome::Unknown { message, .. } => {
                platform_error("edit of the table", message)
            }
        }
    }

    /// Waits until every running balancer has the table and a plan made from it.
    pub fn wait_until_converged(&self, table: TableVersion) -> Result<Duration> {
        self.wait_until("table propagation", |daemon| daemon.has_applied(table))
    }

    /// Waits until every running balancer sees `count` live balancers.
    pub fn wait_for_peers(&self, count: usize) -> Result<Duration> {
        self.wait_until("agreement on the live balancers", |daemon| {
            daemon.is_ready() && daemon.live_balancers() == count
        })
    }

    fn wait_until(&self, what: &'static str, done: impl Fn(&Daemon) -> bool) -> Result<Duration> {
        let start = Instant::now();
        let seconds = CONVERGENCE_TIMEOUT_S;
        while !self.running().all(&done) {
            if start.elapsed().as_secs() >= seconds {
                return TimeoutSnafu { what, seconds }.fail();
            }
            std::thread::sleep(POLL);
        }
        Ok(start.elapsed())
    }

    fn settings(&self, index: usize) -> Settings {
        let seeds = self.running().filter_map(Daemon::peer_address).collect();
        Settings {
            node: NodeSettings {
                name: format!("entry-{}", index + 1),
                failure_domain: index as u16 % 3,
            },
            data: DataSettings {
                listen: SocketAddr::new(loopback(self.cfg.ipv6), 0),
                threads: 2,
                ..DataSettings::default()
            },
            peers: PeersSettings {
                control_port: 0,
                relay_port: 0,
                bulk_port: 0,
                seeds,
                key: PEER_KEY.into(),
                ..PeersSettings::default()
            },
            platform: PlatformSettings {
                endpoint: Some(self.platform.addr()),
                ..PlatformSettings::default()
            },
            health: HealthSettings {
                probe: self.cfg.probe,
                interval_ms: 200,
                ..HealthSettings::default()
            },
            admin: AdminSettings {
                listen: SocketAddr::new(loopback(false), 0),
                ..AdminSettings::default()
            },
            stop: StopSettings {
                quiet_ms: 500,
                limit_ms: 5_000,
            },
            ..Settings::default()
        }
    }
}

type StartedTargets = (Vec<Option<TunnelEndpoint>>, Vec<Row>);

fn start_targets(cfg: &ClusterConfig, ledger: &Arc<Ledger>) -> Result<StartedTargets> {
    let mut endpoints = Vec::new();
    let mut rows = Vec::new();
    for (service, &count) in cfg.targets.iter().enumerate() {
        let address = service_address(service, cfg.ipv6);
        for target in 0..count {
            let tunnel_endpoint = TunnelEndpoint::start(
                loopback(cfg.ipv6),
                endpoints.len(),
                address,
                Arc::clone(ledger),
            )?;
            rows.push(Row {
                service: format!("service-{}", service + 1),
                owner: "demo".into(),
                address: address.ip(),
                port: address.port(),
                protocol: cfg.protocol,
                target: format!("target-{}", target + 1),
                target_address: tunnel_endpoint.addr(),
                failure_domain: FailureDomain(target as u16 % 3),
                weight: 10,
                max_connections: 0,
                slots: 2,
                state: TargetState::Started,
                drain_limit_s: 0,
            });
            endpoints.push(Some(tunnel_endpoint));
        }
    }
    Ok((endpoints, rows))
}

fn service_address(index: usize, ipv6: bool) -> SocketAddr {
    let last = index as u8 + 1;
    if ipv6 {
        let ip = Ipv6Addr::new(0x2001, 0xdb8, 0, 0, 0, 0, 0, last.into());
        return SocketAddr::from((ip, SERVICE_PORT));
    }
    SocketAddr::from(([192, 0, 2, last], SERVICE_PORT))
}

fn loopback(ipv6: bool) -> IpAddr {
    if ipv6 {
        Ipv6Addr::LOCALHOST.into()
    } else {
        Ipv4Addr::LOCALHOST.into()
    }
}

fn platform_error<T>(what: &'static str, reason: String) -> Result<T> {
    PlatformSnafu { what, reason }.fail()
}
