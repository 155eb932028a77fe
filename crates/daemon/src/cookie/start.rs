//! Startup of the balancer for packets that carry a flow cookie.

use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::sync::mpsc::{self, Receiver};
use std::sync::{Arc, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use sequoiatrail_adapter::Kind;
use sequoiatrail_cookie::{Balancer, PeerInfo, Peers, PeersConfig, SuspectReport};
use sequoiatrail_events::{Event, Log};
use sequoiatrail_settings::Settings;
use sequoiatrail_types::{Clock, SystemClock};
use sequoiatrail_wire::Key;
use snafu::ResultExt;

use super::CookieDaemon;
use super::config::balancer_config;
use super::egress::Egress;
use super::follower::Follower;
use super::http;
use super::metrics::Metrics;
use super::packets::PacketLoop;
use super::peers::{self, LoadSender, Poller, ReportSender, SharedPeers, StoreCheckSender};
use super::probe_queue::Probes;
use super::prober::Prober;
use super::reload::Reloader;
use super::shared::Shared;
use super::verifier::Verifier;
use crate::error::{ComponentSnafu, ThreadSnafu};
use crate::receive;
use crate::{Error, Result};

/// Upper limit of the socket's receive buffer, in bytes: some hundred packets of
/// the largest size.
const MAX_RECEIVE_BUFFER_BYTES: usize = 1 << 20;

/// Peers per response in the own failure domain if cold targets have a quota, whose
/// shares depend on how many balancers are known.
const QUOTA_SAMPLE_SIZE: usize = 32;
/// Starts all threads and servers.
pub(super) fn start(file: PathBuf, settings: Settings, log: Log) -> Result<CookieDaemon> {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
    let log = log.for_vm(&settings.node.name);
    let socket = open_socket(&settings)?;
    let listen = socket.local_addr().unwrap_or(settings.data.listen);
    let balancer = Balancer::new(balancer_config(&settings), rand::random());
    let shared = Arc::new(Shared::new(balancer, clock, log));
    shared.set_store(&settings.platform);
    let cookie = &settings.cookie;
    let mut daemon = CookieDaemon {
        shared: Arc::clone(&shared),
        threads: Vec::new(),
        report_threads: Vec::new(),
        failure: Arc::default(),
        http: Vec::new(),
        peers: None,
        listen,
        stop_grace: Duration::from_secs_f64(cookie.stop_grace_s),
        reloader: Reloader::new(file, settings.clone()),
    };
    let caller_port = match cookie.caller_port {
        0 => listen.port(),
        port => port,
    };
    let (reports, queued_reports) = mpsc::channel();
    let (probes, queued_probes) = Probes::new();
    let socket = Arc::new(socket);
    let egress = Arc::new(Egress::new(
        Arc::clone(&shared),
        Arc::clone(&socket),
        probes.clone(),
        reports,
        caller_port,
    ));
    let packets = PacketLoop::new(Arc::clone(&shared), socket, Arc::clone(&egress));
    let prober = Prober::new(Arc::clone(&shared), egress, probes);
    // Start these first: no packet can be forwarded before the store has responded.
    daemon.start_followers(&settings)?;
    daemon.spawn("packets", move || packets.run())?;
    daemon.spawn("probe", move || prober.run(queued_probes))?;
    let check_sender = daemon.start_peers(&settings, queued_reports)?;
    daemon.start_verifier(&settings, check_sender)?;
    let metrics = Arc::new(Metrics::new(&shared)?);
    let path = &cookie.readiness_path;
    let server = http::start(&shared, &metrics, cookie.http_listen, path)?;
    daemon.http.push(server);
    if let Some(listen) = cookie.metrics_listen {
        let server = http::start(&shared, &metrics, listen, path)?;
        daemon.http.push(server);
    }
    shared.log.emit(Event::Started {
        version: env!("CARGO_PKG_VERSION"),
        node: rand::random(),
        listen,
        threads: 1,
    });
    Ok(daemon)
}

impl CookieDaemon {
    fn start_followers(&mut self, settings: &Settings) -> Result<()> {
        let watch_wait = Duration::from_millis(settings.cookie.watch_wait_ms);
        for kind in followed_kinds(settings) {
            let follower = Follower::new(Arc::clone(&self.shared), kind, watch_wait);
            self.spawn(kind.name(), move || {
                follower.run();
                Ok(())
            })?;
        }
        Ok(())
    }

    fn start_verifier(
        &mut self,
        settings: &Settings,
        check_sender: Option<StoreCheckSender>,
    ) -> Result<()> {
        let kinds = followed_kinds(settings);
        let verifier = Verifier::new(&self.shared, &kinds, check_sender);
        self.spawn("verifier", move || {
            verifier.run();
            Ok(())
        })
    }

    fn start_peers(
        &mut self,
        settings: &Settings,
        reports: Receiver<SuspectReport>,
    ) -> Result<Option<StoreCheckSender>> {
        let Some(listen) = settings.cookie.peers_listen else {
            return Ok(None);
        };
        let key = match settings.peers.key.as_str() {
            "" => None,
            key => Some(Key::new(key.as_bytes()).map_err(|e| Error::Component {
                component: "peers.key",
                reason: e.to_string(),
            })?),
        };
        let mut cfg = PeersConfig::default();
        if settings.cookie.cold_flow_factor > 0.0 {
            cfg.local_sample_size = QUOTA_SAMPLE_SIZE;
        }
        let own = PeerInfo {
            address: listen,
            domain: self.shared.lock().domain(),
        };
        let peers = Peers::new(cfg, own, &settings.peers.seeds, rand::random());
        let shared_peers = Arc::new(SharedPeers::new(peers, key));
        let server = peers::start(&self.shared, &shared_peers, listen)?;
        let own = server.addr();
        self.peers = Some(server);
        let check_sender = self.start_reports(settings, &shared_peers, own, reports)?;
        let poller = Poller::new(Arc::clone(&self.shared), shared_peers, own);
        self.spawn("peers", move || {
            poller.run();
            Ok(())
        })?;
        Ok(Some(check_sender))
    }

    fn start_reports(
        &mut self,
        settings: &Settings,
        shared_peers: &Arc<SharedPeers>,
        own: SocketAddr,
        queued: Receiver<SuspectReport>,
    ) -> Result<StoreCheckSender> {
        let port = settings.cookie.reports_port;
        let socket = peers::open_socket(own, port).or_else(|e| {
            ComponentSnafu {
                component: "cookie.reports_port",
                reason: e.to_string(),
            }
            .fail()
        })?;
        let socket = Arc::new(socket);
        let (shared, peers) = (Arc::clone(&self.shared), Arc::clone(shared_peers));
        let receiving = Arc::clone(&socket);
        let receiver = self.start_thread("reports", move || {
            peers::receive(&shared, &peers, &receiving)
        })?;
        let check_sender = StoreCheckSender {
            shared: Arc::clone(&self.shared),
            peers: Arc::clone(shared_peers),
            socket: Arc::downgrade(&socket),
            own,
            port,
        };
        let load_sender = LoadSender {
            shared: Arc::clone(&self.shared),
            peers: Arc::clone(shared_peers),
            socket: Arc::clone(&socket),
            own,
            port,
        };
        let sender = ReportSender {
            shared: Arc::clone(&self.shared),
            peers: Arc::clone(shared_peers),
            socket,
            own,
            port,
        };
        let sender = self.start_thread("report-sender", move || {
            sender.run(queued);
            Ok(())
        })?;
        self.report_threads.extend([receiver, sender]);
        if settings.cookie.load_exchange {
            let sender = self.start_thread("load-sender", move || {
                load_sender.run();
                Ok(())
            })?;
            self.report_threads.push(sender);
        }
        Ok(check_sender)
    }

    fn spawn<F>(&mut self, name: &'static str, body: F) -> Result<()>
    where
        F: FnOnce() -> std::io::Result<()> + Send + 'static,
    {
        let thread = self.start_thread(name, body)?;
        self.threads.push(thread);
        Ok(())
    }

    /// Starts a thread whose error ends the process.
    fn start_thread<F>(&self, name: &'static str, body: F) -> Result<JoinHandle<()>>
    where
        F: FnOnce() -> std::io::Result<()> + Send + 'static,
    {
        let failure = Arc::clone(&self.failure);
        let log = self.shared.log.clone();
        let builder = thread::Builder::new().name(name.to_owned());
        builder
            .spawn(move || {
                let Err(e) = body() else { return };
                log.emit(Event::ThreadFailed {
                    thread: name.to_owned(),
                    error: e.to_string(),
                });
                let mut failure = failure.lock().unwrap_or_else(PoisonError::into_inner);
                failure.get_or_insert(format!("{name}: {e}"));
            })
            .context(ThreadSnafu { name })
    }
}

/// Kinds of objects that are followed.
fn followed_kinds(settings: &Settings) -> Vec<Kind> {
    let evacuations = settings.cookie.evacuations;
    let evacuations = evacuations.then_some(Kind::Evacuations);
    let kinds = [Kind::Manifest, Kind::Targets].into_iter();
    kinds.chain(evacuations).collect()
}

fn open_socket(settings: &Settings) -> Result<UdpSocket> {
    let buffer = settings
        .data
        .receive_buffer_bytes
        .min(MAX_RECEIVE_BUFFER_BYTES);
    let sockets = receive::open(settings.data.listen, 1, buffer)?;
    sockets.into_iter().next().map_or_else(
        || {
            ComponentSnafu {
                component: "data.listen",
                reason: "no socket",
            }
            .fail()
        },
        Ok,
    )
}
