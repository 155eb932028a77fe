//! Starting the parts of a balancer.

use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;
use std::time::Duration;

use sequoiatrail_core::{Core, CoreConfig};
use sequoiatrail_events::{Event, Log};
use sequoiatrail_platform::BalancerStatus;
use sequoiatrail_settings::{Probe, Settings};
use sequoiatrail_types::{Clock, FailureDomain, NodeId, SystemClock, TableVersion};
use snafu::ResultExt;

use super::Daemon;
use crate::admin_link::Parts;
use crate::control::{Control, Input, Links};
use crate::error::{SocketSnafu, ThreadSnafu};
use crate::fetch::Fetcher;
use crate::forward::{DataPath, Forwarder};
use crate::outlet::Outlet;
use crate::peer_link::Wiring;
use crate::platform_link::Write;
use crate::targets::TargetProbeQueue;
use crate::{Result, StopFlag, admin_link, peer_link, platform_link, probe, receive};

/// Balancers of a failure domain that watch the platform.
const WATCHERS_PER_DOMAIN: usize = 2;
/// Share of the control traffic that messages about flows may take; the rest is
/// for the failure detector, versions and targets.
const FLOWS_SHARE_PERCENT: usize = 68;
/// Writes that wait for the platform before further ones are dropped.
const WRITE_QUEUE: usize = 64;

/// Starts all parts of a balancer. Those that were started end with the
/// [`Daemon`] if a later one fails.
pub(super) fn start(settings: Settings, log: Log) -> Result<Daemon> {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
    let data = &settings.data;
    let sockets = receive::open(data.listen, data.threads, data.receive_buffer_bytes)?;
    let listen = sockets.first().and_then(|s| s.local_addr().ok());
    let (inputs, queued) = mpsc::channel();
    let log = log.for_vm(&settings.node.name);
    let mut daemon = Daemon {
        core: Arc::new(Core::new(core_config(&settings), NodeId(rand::random()))),
        counters: Arc::default(),
        listen: listen.unwrap_or(data.listen),
        stop: StopFlag::default(),
        threads: Vec::new(),
        failure: Arc::default(),
        _inputs: inputs.clone(),
        platform: None,
        board: Arc::default(),
        net: None,
        admin: None,
        settings,
        log,
    };
    let path = daemon.start_receiving(&clock, sockets)?;
    daemon.start_control(&clock, inputs, queued, &path)?;
    let admin = admin_link::start(&daemon.settings.admin, &daemon.parts())?;
    daemon.admin = Some(admin);
    daemon.log.emit(Event::Started {
        version: env!("CARGO_PKG_VERSION"),
        node: daemon.core.node().0,
        listen: daemon.listen,
        threads: daemon.settings.data.threads,
    });
    Ok(daemon)
}

impl Daemon {
    fn start_receiving(
        &mut self,
        clock: &Arc<dyn Clock>,
        sockets: Vec<UdpSocket>,
    ) -> Result<Arc<DataPath>> {
        let path = Arc::new(DataPath::new(
            Arc::clone(&self.core),
            Arc::clone(clock),
            self.log.clone(),
            self.settings.data.return_address,
            &self.settings.log,
        ));
        for (index, socket) in sockets.into_iter().enumerate() {
            let forwarder = self.forwarder(&path)?;
            let stop = self.stop.clone();
            self.spawn(format!("receive-{index}"), move || {
                receive::run(&socket, &forwarder, &stop)
            })?;
        }
        Ok(path)
    }

    /// Starts the control thread and all threads that bring it news.
    fn start_control(
        &mut self,
        clock: &Arc<dyn Clock>,
        inputs: Sender<Input>,
        queued: Receiver<Input>,
        path: &Arc<DataPath>,
    ) -> Result<()> {
        let (writes, to_write) = mpsc::sync_channel(WRITE_QUEUE);
        let prober = self.start_prober(inputs.clone())?;
        self.start_peers(clock, inputs.clone(), path)?;
        self.start_platform(clock, inputs, to_write)?;
        let control = Control::new(Links {
            core: Arc::clone(&self.core),
            clock: Arc::clone(clock),
            log: self.log.clone(),
            board: Arc::clone(&self.board),
            writes,
            net: self.net.clone(),
            health: self.settings.health.clone(),
            prober,
            seeds: self.settings.peers.seeds.clone(),
            status: self.status(),
        });
        let stop = self.stop.clone();
        self.spawn("control".into(), move || {
            control.run(&queued, &stop);
            Ok(())
        })
    }

    fn start_platform(
        &mut self,
        clock: &Arc<dyn Clock>,
        inputs: Sender<Input>,
        writes: Receiver<Write>,
    ) -> Result<()> {
        let link = platform_link::open(&self.settings.platform, clock)?;
        if let Some(store) = &link.store {
            let (store, writer) = (Arc::clone(store), Arc::clone(store));
            let (news, log) = (inputs.clone(), self.log.clone());
            self.spawn("platform-write".into(), move || {
                platform_link::write(&writer, &writes, &news, &log);
                Ok(())
            })?;
            let stop = self.stop.clone();
            let net = self.net.clone();
            let watches = move || {
                let net = net.as_deref();
                net.is_none_or(|net| net.is_watcher(WATCHERS_PER_DOMAIN))
            };
            // Not joined: a watch that waits at the platform ends by itself.
            thread::Builder::new()
                .name("platform-follow".into())
                .spawn(move || platform_link::follow(&store, &inputs, &stop, watches))
                .context(ThreadSnafu {
                    name: "platform-follow",
                })?;
        }
        self.platform = Some(link);
        Ok(())
    }

    fn parts(&self) -> Parts {
        let net = self.net.clone();
        Parts {
            core: Arc::clone(&self.core),
            counters: Arc::clone(&self.counters),
            board: Arc::clone(&self.board),
            log: self.log.clone(),
            store: self.platform.as_ref().and_then(|link| link.store.clone()),
            vm: self.settings.node.name.clone(),
            domain: FailureDomain(self.settings.node.failure_domain),
            probes: self.settings.health.probe != Probe::None,
            peers: Arc::new(move || peer_link::reports(net.as_deref())),
        }
    }

    fn status(&self) -> BalancerStatus {
        BalancerStatus {
            node: self.core.node(),
            vm: self.settings.node.name.clone(),
            failure_domain: FailureDomain(self.settings.node.failure_domain),
            peer_address: self.peer_address().unwrap_or(self.listen),
            leaving: false,
            table: TableVersion(0),
        }
    }

    fn start_peers(
        &mut self,
        clock: &Arc<dyn Clock>,
        inputs: Sender<Input>,
        path: &Arc<DataPath>,
    ) -> Result<()> {
        let fetched = inputs.clone();
        let wiring = Wiring {
            node: self.core.node(),
            domain: FailureDomain(self.settings.node.failure_domain),
            clock: Arc::clone(clock),
            core: Arc::clone(&self.core),
            board: Arc::clone(&self.board),
            inputs,
            forwarder: self.forwarder(path)?,
        };
        self.net = peer_link::open(&self.settings.peers, wiring)?;
        if let Some(net) = &self.net {
            peer_link::connect(net, path);
            let fetcher = Fetcher {
                net: Arc::clone(net),
                core: Arc::clone(&self.core),
                board: Arc::clone(&self.board),
                clock: Arc::clone(clock),
                log: self.log.clone(),
                inputs: fetched,
                behind_since: None,
            };
            let stop = self.stop.clone();
            self.spawn("peers-fetch".into(), move || {
                fetcher.run(&stop);
                Ok(())
            })?;
        }
        Ok(())
    }

    fn start_prober(&mut self, inputs: Sender<Input>) -> Result<Option<TargetProbeQueue>> {
        let cfg = self.settings.health.clone();
        if cfg.probe == Probe::None {
            return Ok(None);
        }
        let (orders, queued) = tokio::sync::mpsc::unbounded_channel();
        let limit = Duration::from_millis(cfg.timeout_ms);
        let report = move |round, outcome| {
            // A closed queue means that the balancer ends.
            let _ = inputs.send(Input::Probed(round, outcome));
        };
        self.spawn("probe".into(), move || {
            probe::run(cfg.probe, limit, queued, report)
        })?;
        Ok(Some(orders))
    }

    fn forwarder(&self, path: &Arc<DataPath>) -> Result<Forwarder> {
        let out = Outlet::new(self.listen.ip()).context(SocketSnafu {
            what: "socket towards targets from",
            address: self.listen,
        })?;
        let counters = self.counters.for_thread();
        Ok(Forwarder::new(Arc::clone(path), out, counters))
    }
}

fn core_config(settings: &Settings) -> CoreConfig {
    let data = &settings.data;
    let control_bytes = settings.peers.control_bytes_per_s as usize;
    CoreConfig {
        control_bytes_per_s: control_bytes * FLOWS_SHARE_PERCENT / 100,
        max_flows: data.max_flows,
        tcp_idle: Duration::from_secs(data.tcp_idle_s),
        udp_idle: Duration::from_secs(data.udp_idle_s),
        ..CoreConfig::default()
    }
}
