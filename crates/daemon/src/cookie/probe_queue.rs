//! Queue of probes of suspected targets.

use std::net::SocketAddrV4;

use sequoiatrail_cookie::ProbeRequest;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

use crate::probe::{ProbeJob, ProbeQueue};

/// One connection attempt of a probe, numbered from 1.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub request: ProbeRequest,
    pub number: u32,
    /// Address of another target, connected to at the same time.
    pub reference: Option<SocketAddrV4>,
}

/// Attempts that wait to be made.
pub(super) type QueuedAttempts = UnboundedReceiver<ProbeJob<Attempt>>;

/// Sender of attempts.
#[derive(Clone)]
pub(super) struct Probes {
    jobs: ProbeQueue<Attempt>,
}

impl Probes {
    /// Creates a queue.
    pub fn new() -> (Probes, QueuedAttempts) {
        let (jobs, queued) = unbounded_channel();
        (Probes { jobs }, queued)
    }

    /// Queues probes; does not block.
    pub fn submit(&self, requests: Vec<ProbeRequest>) {
        for request in requests {
            self.enqueue(Attempt {
                request,
                number: 1,
                reference: None,
            });
        }
    }

    /// Queues an attempt.
    pub fn enqueue(&self, attempt: Attempt) {
        // The queue is closed once the balancer has shut down.
        let _ = self.jobs.send(ProbeJob {
            key: attempt,
            address: attempt.request.address.into(),
            reference: attempt.reference.map(Into::into),
        });
    }
}
