//! Connects the administration API to a running balancer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use sequoiatrail_admin::{
    AdminBackend, AdminConfig, AdminServer, BalancerReport, BalancerState, ExplainQuery,
    Explanation, FlowReport, Readiness, Role, Status, TargetReport, Token, launch,
};
use sequoiatrail_core::Core;
use sequoiatrail_events::{Event, Log};
use sequoiatrail_platform::{EditOutcome, Store};
use sequoiatrail_settings::{AdminSettings, TokenRole, TokenSettings};
use sequoiatrail_table::{Table, Target};
use sequoiatrail_types::{FailureDomain, FlowKey, RefusalReason, TableVersion, TargetId};

use crate::Result;
use crate::counters::{Count, CounterSet};
use crate::error::ComponentSnafu;
use crate::metrics::{Metrics, Sources};
use crate::shared_state::SharedState;

/// Balancer components that the API reads and changes.
#[derive(Clone)]
pub(crate) struct AdminContext {
    pub core: Arc<Core>,
    pub counters: Arc<CounterSet>,
    pub shared: Arc<SharedState>,
    pub log: Log,
    pub store: Option<Arc<Store>>,
    pub vm: String,
    pub domain: FailureDomain,
    /// Whether targets are probed.
    pub probes: bool,
    /// Returns the reports of the other balancers.
    pub peers: Arc<dyn Fn() -> Vec<BalancerReport> + Send + Sync>,
}

/// Starts the administration API.
pub(crate) fn start(cfg: &AdminSettings, cx: &AdminContext) -> Result<AdminServer> {
    let metrics = Metrics::new(&Sources {
        core: Arc::clone(&cx.core),
        counters: Arc::clone(&cx.counters),
        shared: Arc::clone(&cx.shared),
        log: cx.log.clone(),
    })?;
    let admin = AdminConfig {
        listen: cfg.listen,
        open_metrics: cfg.open_metrics,
        tokens: cfg.tokens.iter().map(token).collect(),
        ..AdminConfig::default()
    };
    launch(admin, state(cx, metrics)).or_else(|e| {
        let reason = e.to_string();
        let component = "administration API";
        ComponentSnafu { component, reason }.fail()
    })
}

fn token(token: &TokenSettings) -> Token {
    Token {
        name: token.name.clone(),
        role: match token.role {
            TokenRole::Read => Role::Read,
            TokenRole::Edit => Role::Edit,
        },
        owners: token.owners.clone(),
        secret: token.secret.clone(),
    }
}

fn state(cx: &AdminContext, metrics: Metrics) -> AdminBackend {
    let core = Arc::clone(&cx.core);
    let store = cx.store.clone();
    let [status_cx, explain_cx, ready_cx] = [(); 3].map(|()| cx.clone());
    let (shared, log, audit) = (Arc::clone(&cx.shared), cx.log.clone(), cx.log.clone());
    AdminBackend {
        table: Box::new(move || core.table()),
        edit: Box::new(move |edit, rows| match &store {
            Some(store) => store.edit_table(edit, |table| rows(table)),
            None => no_platform(),
        }),
        status: Box::new(move || status(&status_cx)),
        explain: Box::new(move |query| explain(&explain_cx.core, query)),
        drain: Box::new(move || {
            log.emit(Event::DrainRequested {});
            shared.draining.store(true, Ordering::Release);
        }),
        ready: Box::new(move || readiness(&ready_cx)),
        metrics: Box::new(move || metrics.text()),
        audit: Box::new(move |record| {
            audit.emit(Event::EditEnded {
                editor: record.token,
                action: record.action,
                verdict: record.verdict,
                message: record.message,
            });
        }),
    }
}

fn no_platform() -> EditOutcome {
    EditOutcome::NotRun {
        reason: RefusalReason::Unavailable,
        message: "this balancer has no platform; send the request to one that has".into(),
        differing: Vec::new(),
        retry_delay: None,
    }
}

fn readiness(cx: &AdminContext) -> Readiness {
    let table = cx.core.table();
    let mut reasons = Vec::new();
    if table.version == TableVersion(0) {
        reasons.push("no table yet".to_owned());
    }
    for service in &table.services {
        if cx.core.plan_version(service.id).is_none() {
            reasons.push(format!("no plan of service {} yet", service.name));
        }
    }
    if cx.shared.draining.load(Ordering::Acquire) {
        reasons.push("stopping".to_owned());
    }
    Readiness {
        ready: reasons.is_empty(),
        reasons,
    }
}

fn status(cx: &AdminContext) -> Status {
    let table = cx.core.table();
    let draining = cx.shared.draining.load(Ordering::Acquire);
    let mut balancers = vec![BalancerReport {
        node: cx.core.node(),
        vm: cx.vm.clone(),
        failure_domain: cx.domain,
        state: if draining {
            BalancerState::Leaving
        } else {
            BalancerState::Alive
        },
        ready: cx.shared.ready.load(Ordering::Relaxed),
        table: Some(table.version),
    }];
    balancers.extend((cx.peers)());
    let vms = cx.shared.details().vms.clone();
    for other in &mut balancers[1..] {
        other.vm = vms.get(&other.node).cloned().unwrap_or_default();
    }
    let services = table.services.iter();
    let plans = services.filter_map(|s| Some((s.id, cx.core.plan_version(s.id)?)));
    Status {
        node: cx.core.node(),
        vm: cx.vm.clone(),
        failure_domain: cx.domain,
        readiness: readiness(cx),
        draining,
        platform_reachable: cx.shared.platform_reachable.load(Ordering::Relaxed),
        table: table.version,
        plans: plans.collect(),
        balancers,
        targets: targets(cx, &table),
        flows: flows(cx),
    }
}

fn flows(cx: &AdminContext) -> FlowReport {
    let count = |count| cx.counters.sum(count);
    FlowReport {
        open: cx.core.flow_stats().flows as u64,
        new: count(Count::ForwardedPlaced),
        refused: count(Count::Refused),
        broken: count(Count::Reset),
        relayed_packets: count(Count::Relayed),
    }
}

fn targets(cx: &AdminContext, table: &Table) -> Vec<TargetReport> {
    let details = cx.shared.details();
    let mut buckets: HashMap<TargetId, u32> = HashMap::new();
    for bucket in details.plans.values().flat_map(|plan| &plan.buckets) {
        *buckets.entry(bucket.target).or_default() += 1;
    }
    let report = |target: &Target| TargetReport {
        id: target.id,
        service: target.row.service.clone(),
        target: target.row.target.clone(),
        state: target.row.state.to_string(),
        health: health(cx, details.down.contains(&target.id)).into(),
        open_flows: details
            .open_flows
            .get(&target.id)
            .copied()
            .unwrap_or(0)
            .into(),
        buckets: buckets.get(&target.id).copied().unwrap_or(0),
    };
    table.targets.iter().map(report).collect()
}

fn health(cx: &AdminContext, down: bool) -> &'static str {
    match (cx.probes, down) {
        (_, true) => "dead",
        (true, false) => "healthy",
        (false, false) => "unknown",
    }
}

fn explain(core: &Core, query: &ExplainQuery) -> Result<Explanation, String> {
    let table = core.table();
    let service = table
        .service_by_name(&query.service)
        .ok_or_else(|| format!("service {} does not exist", query.service))?;
    check_family(query.src, service.address)?;
    let info = core
        .explain(&FlowKey {
            protocol: service.protocol,
            src: query.src,
            dst: service.address,
        })
        .ok_or_else(|| format!("service {} has no plan yet", query.service))?;
    let target = info.known_target.unwrap_or(info.planned_target);
    let reason = match (info.known_target, info.in_transition) {
        (Some(_), _) => "known",
        (None, true) => "owner_decides",
        (None, false) => "settled",
    };
    Ok(Explanation {
        service: query.service.clone(),
        src: query.src,
        flow: format!("{:016x}", info.flow.0),
        bucket: info.bucket,
        plan: info.plan,
        target: table.target(target).map(|t| t.row.target.clone()),
        reason: reason.into(),
        known: info.known_target.is_some(),
        in_transition: info.in_transition,
    })
}

fn check_family(src: SocketAddr, dst: SocketAddr) -> Result<(), String> {
    if src.is_ipv4() == dst.is_ipv4() {
        return Ok(());
    }
    Err(format!(
        "{src} and {dst} belong to different address families"
    ))
}
