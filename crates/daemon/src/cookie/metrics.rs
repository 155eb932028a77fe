//! Metrics of the balancer for packets that carry a flow cookie.

use std::sync::Arc;
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Histogram, Meter};

use super::shared::Shared;
use crate::Result;
use crate::metrics::{Exposition, add_counters};

/// Bucket bounds of the packet handling histogram, in seconds.
const HANDLING_BOUNDS_S: [f64; 7] = [1e-5, 3e-5, 1e-4, 3e-4, 1e-3, 1e-2, 1e-1];

/// The metrics of one balancer.
pub(super) struct Metrics {
    exposition: Exposition,
}

impl Metrics {
    pub fn new(shared: &Arc<Shared>) -> Result<Metrics> {
        let exposition = Exposition::new()?;
        let meter = exposition.meter();
        add_counters(&meter, &shared.counters, &shared.log);
        add_gauges(&meter, shared);
        let handling = meter
            .f64_histogram("packet_handling_seconds")
            .with_description("Time from the arrival of a packet to its decision")
            .with_boundaries(HANDLING_BOUNDS_S.to_vec())
            .build();
        // Already set if metrics were started before in this process; keep the first.
        let _ = shared.handling.set(handling);
        Ok(Metrics { exposition })
    }

    pub fn text(&self) -> String {
        self.exposition.text()
    }
}

/// Records the time taken to handle a packet.
pub(super) fn record_handling(histogram: Option<&Histogram<f64>>, time: Duration) {
    if let Some(histogram) = histogram {
        histogram.record(time.as_secs_f64(), &[]);
    }
}

/// Gauges of each evacuated failure domain; one that is not evacuated has none.
fn add_evacuation_gauges(meter: &Meter, shared: &Arc<Shared>) {
    let shared = Arc::clone(shared);
    meter
        .u64_observable_gauge("evacuated_domain_flows")
        .with_description("Open flows here in a failure domain that is evacuated")
        .with_callback(move |observer| {
            let balancer = shared.lock();
            for domain in balancer.evacuations().domains() {
                let flows = balancer.flows_in_domain(domain);
                let label = KeyValue::new("failure_domain", domain.to_string());
                observer.observe(u64::from(flows), &[label]);
            }
        })
        .build();
}

fn add_gauges(meter: &Meter, shared: &Arc<Shared>) {
    add_evacuation_gauges(meter, shared);
    let gauge = |name: &'static str, description: &'static str, value: fn(&Shared) -> u64| {
        let shared = Arc::clone(shared);
        meter
            .u64_observable_gauge(name)
            .with_description(description)
            .with_callback(move |observer| observer.observe(value(&shared), &[]))
            .build();
    };
    gauge("flows", "Flows observed here", |s| {
        s.lock().flows().len() as u64
    });
    gauge(
        "manifest_version",
        "Version of the manifest in force",
        |s| s.lock().routes().version(),
    );
    gauge("targets_listed", "Targets that are listed", |s| {
        s.lock().directory().listed().count() as u64
    });
    gauge("targets_revision", "Revision of the list of targets", |s| {
        s.lock().directory().revision().number
    });
    gauge("store_era", "Times that the store was restored", |s| {
        s.era().0
    });
    gauge(
        "targets_age_milliseconds",
        "Time since the store confirmed the targets",
        |s| s.targets_age(s.clock.now()).as_millis() as u64,
    );
    gauge(
        "load_peers_heard",
        "Balancers of the failure domain whose load report counts",
        |s| s.lock().domain_load().heard() as u64,
    );
    gauge(
        "load_peers_expected",
        "Other balancers of the failure domain that are known to run",
        |s| s.lock().domain_load().expected() as u64,
    );
    gauge(
        "remote_load_peers_heard",
        "Balancers of other failure domains whose load report counts",
        |s| s.lock().remote_load().heard() as u64,
    );
    gauge(
        "load_age_milliseconds",
        "Age of the oldest load report that counts",
        |s| s.lock().domain_load().age(s.clock.now()).as_millis() as u64,
    );
    gauge("ready", "1 if packets are asked for, 0 if not", |s| {
        u64::from(s.is_ready())
    });
}
