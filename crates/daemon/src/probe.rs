//! Thread that probes targets over TCP or UDP.

use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::time::Duration;

use sequoiatrail_settings::Probe;
use tokio::net::{TcpStream, UdpSocket};
use tokio::runtime::Builder;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::time::timeout;

/// Payload of a UDP probe request.
const UDP_REQUEST: &[u8] = b"load?";
/// Length to which a UDP probe reply is truncated before it is evaluated, in bytes.
const MAX_REPLY_BYTES: usize = 16;
/// Maximum number of concurrent probes; further ones are queued.
const MAX_CONCURRENT_PROBES: usize = 256;

/// Time by which a reference must answer earlier than the probed address must; more than
/// the round trips to the two and the starts of the two probes differ. The answer of the
/// probed address was then due, even if what comes back waits in a queue.
const REFERENCE_MARGIN: Duration = Duration::from_millis(20);
/// Interval between checks whether to stop while no probe is queued.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// A probe to run; `key` identifies it in the outcome.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProbeJob<K> {
    pub key: K,
    pub address: SocketAddr,
    /// Another address, probed along with it to tell silence of the target from trouble
    /// of the path.
    pub reference: Option<SocketAddr>,
}

/// Queue of probes to run; the probe thread ends when all senders are dropped.
pub(crate) type ProbeQueue<K> = UnboundedSender<ProbeJob<K>>;

/// Why a probe got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeFailure {
    /// Nothing came back in time, or the target's host is not reachable.
    TimedOut,
    /// The same, and nothing came back from the job's reference either.
    NothingAnswered,
    /// The target's host refused it.
    Refused,
    /// It was not sent, for want of a descriptor, a port or a network.
    NotSent,
}

impl From<io::Error> for ProbeFailure {
    fn from(e: io::Error) -> ProbeFailure {
        use io::ErrorKind::{ConnectionRefused, ConnectionReset, HostUnreachable, TimedOut};
        match e.kind() {
            ConnectionRefused | ConnectionReset => ProbeFailure::Refused,
            HostUnreachable | TimedOut => ProbeFailure::TimedOut,
            _ => ProbeFailure::NotSent,
        }
    }
}

/// The load that a target reported, if any, in thousandths of its capacity.
pub(crate) type ProbeResult = Result<Option<u16>, ProbeFailure>;

/// Runs probes until the queue is closed or `is_stopped` returns true; calls `report`
/// with each outcome.
pub(crate) fn run<K, F>(
    kind: Probe,
    probe_timeout: Duration,
    mut jobs: UnboundedReceiver<ProbeJob<K>>,
    is_stopped: impl Fn() -> bool,
    report: F,
) -> io::Result<()>
where
    K: Send + 'static,
    F: Fn(K, ProbeResult) + Clone + Send + 'static,
{
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let permits = std::sync::Arc::new(tokio::sync::Semaphore::new(MAX_CONCURRENT_PROBES));
    runtime.block_on(async {
        while !is_stopped() {
            let job = match timeout(STOP_POLL_INTERVAL, jobs.recv()).await {
                Ok(Some(job)) => job,
                Ok(None) => return,
                Err(_) => continue,
            };
            let Ok(permit) = std::sync::Arc::clone(&permits).acquire_owned().await else {
                return;
            };
            let report = report.clone();
            tokio::spawn(async move {
                let outcome = match job.reference {
                    None => probe(kind, job.address, probe_timeout).await,
                    Some(other) => probe_beside(kind, job.address, other, probe_timeout).await,
                };
                report(job.key, outcome);
                drop(permit);
            });
        }
    });
    Ok(())
}

/// Runs a probe, and one of its reference at the same time. An answer is not held up by
/// the reference.
async fn probe_beside(
    kind: Probe,
    address: SocketAddr,
    reference: SocketAddr,
    probe_timeout: Duration,
) -> ProbeResult {
    let reference_timeout = probe_timeout.saturating_sub(REFERENCE_MARGIN);
    let reference = tokio::spawn(probe(kind, reference, reference_timeout));
    let result = probe(kind, address, probe_timeout).await;
    if result != Err(ProbeFailure::TimedOut) {
        return result;
    }
    match reference.await {
        // A refusal comes from the reference's host, so that the path is sound.
        Ok(Ok(_) | Err(ProbeFailure::Refused)) => result,
        _ => Err(ProbeFailure::NothingAnswered),
    }
}

async fn probe(kind: Probe, address: SocketAddr, probe_timeout: Duration) -> ProbeResult {
    let reply = timeout(probe_timeout, async {
        match kind {
            Probe::Udp => probe_udp(address).await,
            Probe::None | Probe::Tcp => TcpStream::connect(address).await.map(|_| None),
        }
    });
    match reply.await {
        Ok(result) => result.map_err(ProbeFailure::from),
        Err(_) => Err(ProbeFailure::TimedOut),
    }
}

/// Sends a UDP probe. A numeric reply is the load of the target, in thousandths
/// of its capacity.
async fn probe_udp(address: SocketAddr) -> io::Result<Option<u16>> {
    let any: IpAddr = match address {
        SocketAddr::V4(_) => Ipv4Addr::UNSPECIFIED.into(),
        SocketAddr::V6(_) => Ipv6Addr::UNSPECIFIED.into(),
    };
    let socket = UdpSocket::bind((any, 0)).await?;
    socket.connect(address).await?;
    socket.send(UDP_REQUEST).await?;
    let mut buf = [0; MAX_REPLY_BYTES];
    let length = socket.recv(&mut buf).await?;
    let text = std::str::from_utf8(&buf[..length]).unwrap_or_default();
    Ok(text.trim().parse().ok())
}
