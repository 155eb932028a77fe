//! Metrics in the Prometheus text exposition.

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
use crate::board::Board;
use crate::counters::{Count, CounterSet};
use crate::error::ComponentSnafu;

/// What metrics are read from.
#[derive(Clone)]
pub(crate) struct Sources {
    pub core: Arc<Core>,
    pub counters: Arc<CounterSet>,
    pub board: Arc<Board>,
    pub log: Log,
}

/// Instruments and their text exposition.
pub(crate) struct Exposition {
    registry: Registry,
    /// Held so that the instruments stay registered.
    provider: SdkMeterProvider,
}

impl Exposition {
    /// An exposition without instruments.
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

    /// What makes instruments.
    pub fn meter(&self) -> Meter {
        self.provider.meter("sequoiatrail")
    }

    /// The text exposition.
    pub fn text(&self) -> String {
        let mut buf = Vec::new();
        // Writing to a vector cannot fail.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        String::from_utf8_lossy(&buf).into_owned()
    }
}

/// The metrics of one balancer, read when they are asked for.
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

    /// The text exposition.
    pub fn text(&self) -> String {
        self.exposition.text()
    }
}

/// Registers the counts of the data path and of the log.
pub(crate) fn add_counters(meter: &Meter, counters: &Arc<CounterSet>, log: &Log) {
    for count in Count::iter() {
        let name: &'static str = count.into();
        let counters = Arc::clone(counters);
        meter
            .u64_observable_counter(name)
            .with_description("Count of the data path, see docs/OPERATING.md")
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
        .with_description("Flows known here")
        .with_callback(move |observer| observer.observe(core.flow_stats().flows as u64, &[]))
        .build();
    let board = Arc::clone(&sources.board);
    meter
        .u64_observable_gauge("owned_open_flows")
        .with_description("Open flows that this balancer owns, by target")
        .with_callback(move |observer| {
            for (target, flows) in &board.facts().open_flows {
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
        .with_description("Version of the table in force here")
        .with_callback(move |observer| observer.observe(core.table().version.0, &[]))
        .build();
    let board = Arc::clone(&sources.board);
    meter
        .u64_observable_gauge("plan_version")
        .with_description("Newest plan prepared here, by service")
        .with_callback(move |observer| {
            for (service, plan) in &board.facts().plans {
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
    let board = Arc::clone(&sources.board);
    meter
        .u64_observable_gauge("platform_reachable")
        .with_description("1 if the platform answered last, 0 if not")
        .with_callback(move |observer| {
            let reachable = board.platform_reachable.load(Ordering::Relaxed);
            observer.observe(u64::from(reachable), &[]);
        })
        .build();
    let board = Arc::clone(&sources.board);
    meter
        .u64_observable_gauge("targets_down")
        .with_description("Targets taken for dead")
        .with_callback(move |observer| observer.observe(board.facts().down.len() as u64, &[]))
        .build();
}
