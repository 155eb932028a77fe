//! The thread that probes targets.

use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::time::Duration;

use sequoiatrail_health::ProbeOutcome;
use sequoiatrail_settings::Probe;
use tokio::net::{TcpStream, UdpSocket};
use tokio::runtime::Builder;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::time::timeout;

/// What a UDP probe sends.
const QUESTION: &[u8] = b"load?";
/// Longest answer to a UDP probe that is looked at, in bytes.
const MAX_ANSWER_BYTES: usize = 16;
/// Most probes that wait for an answer at once; further ones wait for their turn.
const MAX_PROBES: usize = 256;

/// A probe to make; `key` tells whose it is.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProbeJob<K> {
    pub key: K,
    pub address: SocketAddr,
}

/// Takes orders; the thread ends when it is dropped.
pub(crate) type ProbeQueue<K> = UnboundedSender<ProbeJob<K>>;

/// Probes targets until the orders end; `report` gets each outcome.
pub(crate) fn run<K, F>(
    kind: Probe,
    limit: Duration,
    mut orders: UnboundedReceiver<ProbeJob<K>>,
    report: F,
) -> io::Result<()>
where
    K: Send + 'static,
    F: Fn(K, ProbeOutcome) + Clone + Send + 'static,
{
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let turns = std::sync::Arc::new(tokio::sync::Semaphore::new(MAX_PROBES));
    runtime.block_on(async {
        while let Some(order) = orders.recv().await {
            let Ok(turn) = std::sync::Arc::clone(&turns).acquire_owned().await else {
                return;
            };
            let report = report.clone();
            tokio::spawn(async move {
                let outcome = probe(kind, order.address, limit).await;
                report(order.key, outcome);
                drop(turn);
            });
        }
    });
    Ok(())
}

async fn probe(kind: Probe, address: SocketAddr, limit: Duration) -> ProbeOutcome {
    let answer = timeout(limit, async {
        match kind {
            Probe::Udp => ask(address).await,
            Probe::None | Probe::Tcp => TcpStream::connect(address).await.map(|_| None),
        }
    });
    match answer.await {
        Ok(Ok(load)) => ProbeOutcome::Answered { load },
        Ok(Err(_)) | Err(_) => ProbeOutcome::Failed,
    }
}

/// Asks by UDP. An answer that is a number tells the load in thousandths of
/// the target's capacity.
async fn ask(address: SocketAddr) -> io::Result<Option<u16>> {
    let any: IpAddr = match address {
        SocketAddr::V4(_) => Ipv4Addr::UNSPECIFIED.into(),
        SocketAddr::V6(_) => Ipv6Addr::UNSPECIFIED.into(),
    };
    let socket = UdpSocket::bind((any, 0)).await?;
    socket.connect(address).await?;
    socket.send(QUESTION).await?;
    let mut buf = [0; MAX_ANSWER_BYTES];
    let length = socket.recv(&mut buf).await?;
    let text = std::str::from_utf8(&buf[..length]).unwrap_or_default();
    Ok(text.trim().parse().ok())
}
