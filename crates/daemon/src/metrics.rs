//! Metrics in the Prometheus text exposition format.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use sequoiatrail_core::Core;
use sequoiatrail_events::Log;
use strum::IntoEnumIterator;

use crate::Result;
use crate::counters::{Count, CounterSet};
use crate::error::ComponentSnafu;
use crate::shared_state::SharedState;

/// Sources of the metric values.
#[derive(Clone)]
pub(crate) struct Sources {
    pub core: Arc<Core>,
    pub counters: Arc<CounterSet>,
    pub shared: Arc<SharedState>,
    pub log: Log,
}

/// Metric instruments and their text exposition.
pub(crate) struct Exposition {
    registry: Registry,
    /// Keeps the instruments registered.
    provider: SdkMeterProvider,
}

impl Exposition {
    /// Creates an exposition without instruments.
    pub fn new() -> Result<Exposition> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace("sequoiatrail")
            .scope_info_enabled(false)
            .without_target_info()
            .build();
        let exporter = match exporter {
            Ok(exporter) => exporter,
            Err(e) => {
                let reason = e.to_string();
                let component = "metrics";
                return ComponentSnafu { component, reason }.fail();
            }
        };
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Exposition { registry, provider })
    }

    /// Returns the meter that creates instruments.
    pub fn meter(&self) -> Meter {
        self.provider.meter("sequoiatrail")
    }

    /// Renders the text exposition.
    pub fn text(&self) -> String {
        let mut buf = Vec::new();
        // Writing to a vector cannot fail.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        String::from_utf8_lossy(&buf).into_owned()
    }
}

/// Metrics of one balancer, collected on each scrape.
pub(crate) struct Metrics {
    exposition: Exposition,
}

impl Metrics {
    /// Registers the instruments.
    pub fn new(sources: &Sources) -> Result<Metrics> {
        let exposition = Exposition::new()?;
        let meter = exposition.meter();
        add_counters(&meter, &sources.counters, &sources.log);
        add_flow_gauges(&meter, sources);
        add_version_gauges(&meter, sources);
        add_state_gauges(&meter, sources);
        Ok(Metrics { exposition })
    }

    /// Renders the text exposition.
    pub fn text(&self) -> String {
        self.exposition.text()
    }
}

/// Registers the data path and log counters.
pub(crate) fn add_counters(meter: &Meter, counters: &Arc<CounterSet>, log: &Log) {
    for count in Count::iter() {
        let name: &'static str = count.into();
        let counters = Arc::clone(counters);
        meter
            .u64_observable_counter(name)
            .with_description("Data path counter, see docs/OPERATING.md")
            .with_callback(move |observer| observer.observe(counters.sum(count), &[]))
            .build();
    }
    let log = log.clone();
    meter
        .u64_observable_counter("log_lines_dropped")
        .with_description("Log lines dropped because the writer was too slow")
        .with_callback(move |observer| observer.observe(log.dropped(), &[]))
        .build();
}

fn add_flow_gauges(meter: &Meter, sources: &Sources) {
    let core = Arc::clone(&sources.core);
    meter
        .u64_observable_gauge("flows")
        .with_description("Number of flows tracked by this balancer")
        .with_callback(move |observer| observer.observe(core.flow_stats().flows as u64, &[]))
        .build();
    let shared = Arc::clone(&sources.shared);
    meter
        .u64_observable_gauge("owned_open_flows")
        .with_description("Open flows owned by this balancer, by target")
        .with_callback(move |observer| {
            for (target, flows) in &shared.details().open_flows {
                let target = KeyValue::new("target", i64::from(target.0));
                observer.observe(u64::from(*flows), &[target]);
            }
        })
        .build();
}

fn add_version_gauges(meter: &Meter, sources: &Sources) {
    let core = Arc::clone(&sources.core);
    meter
        .u64_observable_gauge("table_version")
        .with_description("Version of the current table")
        .with_callback(move |observer| observer.observe(core.table().version.0, &[]))
        .build();
    let shared = Arc::clone(&sources.shared);
    meter
        .u64_observable_gauge("plan_version")
        .with_description("Version of the latest prepared plan, by service")
        .with_callback(move |observer| {
            for (service, plan) in &shared.details().plans {
                let service = KeyValue::new("service", i64::from(service.0));
                observer.observe(plan.version.0, &[service]);
            }
        })
        .build();
    let core = Arc::clone(&sources.core);
    meter
        .u64_observable_gauge("open_buckets")
        .with_description("Buckets in transition between two targets, by service")
        .with_callback(move |observer| {
            for service in &core.table().services {
                let label = KeyValue::new("service", i64::from(service.id.0));
                observer.observe(core.open_buckets(service.id) as u64, &[label]);
            }
        })
        .build();
}

fn add_state_gauges(meter: &Meter, sources: &Sources) {
    let shared = Arc::clone(&sources.shared);
    meter
        .u64_observable_gauge("platform_reachable")
        .with_description("1 if the last request to the platform succeeded, 0 if not")
        .with_callback(move |observer| {
            let reachable = shared.platform_reachable.load(Ordering::Relaxed);
            observer.observe(u64::from(reachable), &[]);
        })
        .build();
    let shared = Arc::clone(&sources.shared);
    meter
        .u64_observable_gauge("targets_down")
        .with_description("Number of targets that are down")
        .with_callback(move |observer| observer.observe(shared.details().down.len() as u64, &[]))
        .build();
}
