//! Startup of a balancer.

use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;
use std::time::Duration;

use sequoiatrail_core::{Core, CoreConfig};
use sequoiatrail_events::{Event, Log};
use sequoiatrail_health::ProbeOutcome;
use sequoiatrail_platform::BalancerStatus;
use sequoiatrail_settings::{Probe, Settings};
use sequoiatrail_types::{Clock, FailureDomain, NodeId, SystemClock, TableVersion};
use snafu::ResultExt;

use super::Daemon;
use crate::admin_link::AdminContext;
use crate::control::{Context, Control};
use crate::control_messages::{Input, Write};
use crate::egress::Egress;
use crate::error::{SocketSnafu, ThreadSnafu};
use crate::fetch::Fetcher;
use crate::forward::{DataPath, Forwarder};
use crate::peer_link::PeerContext;
use crate::probe::ProbeResult;
use crate::targets::TargetProbeQueue;
use crate::{Result, StopFlag, admin_link, peer_link, platform_link, probe, receive};

/// Number of balancers per failure domain that watch the platform.
const WATCHERS_PER_DOMAIN: usize = 2;
/// Percentage of the control traffic budget for messages about flows; the rest is
/// for the failure detector, versions and targets.
const FLOW_MESSAGES_PERCENT: usize = 68;
/// Capacity of the platform write queue; further writes are dropped.
const WRITE_QUEUE_CAPACITY: usize = 64;

/// Starts all components of a balancer. If one fails, dropping the [`Daemon`] stops
/// those already started.
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
        shared: Arc::default(),
        net: None,
        admin: None,
        settings,
        log,
    };
    let path = daemon.start_receiving(&clock, sockets)?;
    daemon.start_control(&clock, inputs, queued, &path)?;
    let admin = admin_link::start(&daemon.settings.admin, &daemon.admin_context())?;
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

    /// Starts the control thread and all threads that send it inputs.
    fn start_control(
        &mut self,
        clock: &Arc<dyn Clock>,
        inputs: Sender<Input>,
        queued: Receiver<Input>,
        path: &Arc<DataPath>,
    ) -> Result<()> {
        let (writes, to_write) = mpsc::sync_channel(WRITE_QUEUE_CAPACITY);
        let prober = self.start_prober(inputs.clone())?;
        self.start_peers(clock, inputs.clone(), path)?;
        self.start_platform(clock, inputs, to_write)?;
        let control = Control::new(Context {
            core: Arc::clone(&self.core),
            clock: Arc::clone(clock),
            log: self.log.clone(),
            shared: Arc::clone(&self.shared),
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
            let (updates, log) = (inputs.clone(), self.log.clone());
            self.spawn("platform-write".into(), move || {
                platform_link::write(&writer, &writes, &updates, &log);
                Ok(())
            })?;
            let stop = self.stop.clone();
            let net = self.net.clone();
            let should_watch = move || {
                let net = net.as_deref();
                net.is_none_or(|net| net.is_watcher(WATCHERS_PER_DOMAIN))
            };
            // Not joined: a pending watch request ends by itself.
            thread::Builder::new()
                .name("platform-follow".into())
                .spawn(move || platform_link::follow(&store, &inputs, &stop, should_watch))
                .context(ThreadSnafu {
                    name: "platform-follow",
                })?;
        }
        self.platform = Some(link);
        Ok(())
    }

    fn admin_context(&self) -> AdminContext {
        let net = self.net.clone();
        AdminContext {
            core: Arc::clone(&self.core),
            counters: Arc::clone(&self.counters),
            shared: Arc::clone(&self.shared),
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
        let cx = PeerContext {
            node: self.core.node(),
            domain: FailureDomain(self.settings.node.failure_domain),
            clock: Arc::clone(clock),
            core: Arc::clone(&self.core),
            shared: Arc::clone(&self.shared),
            inputs,
            forwarder: self.forwarder(path)?,
        };
        self.net = peer_link::open(&self.settings.peers, cx)?;
        if let Some(net) = &self.net {
            peer_link::connect(net, path);
            let fetcher = Fetcher {
                net: Arc::clone(net),
                core: Arc::clone(&self.core),
                shared: Arc::clone(&self.shared),
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
        let (probe_queue, queued) = tokio::sync::mpsc::unbounded_channel();
        let timeout = Duration::from_millis(cfg.timeout_ms);
        let report = move |round, result: ProbeResult| {
            let outcome = match result {
                Ok(load) => ProbeOutcome::Answered { load },
                Err(_) => ProbeOutcome::Failed,
            };
            // The queue is closed only when the balancer stops.
            let _ = inputs.send(Input::Probed(round, outcome));
        };
        self.spawn("probe".into(), move || {
            // The queue is closed when the control thread ends.
            probe::run(cfg.probe, timeout, queued, || false, report)
        })?;
        Ok(Some(probe_queue))
    }

    fn forwarder(&self, path: &Arc<DataPath>) -> Result<Forwarder> {
        let out = Egress::new(self.listen.ip()).context(SocketSnafu {
            purpose: "egress socket",
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
        control_bytes_per_s: control_bytes * FLOW_MESSAGES_PERCENT / 100,
        max_flows: data.max_flows,
        tcp_idle: Duration::from_secs(data.tcp_idle_s),
        udp_idle: Duration::from_secs(data.udp_idle_s),
        ..CoreConfig::default()
    }
}
