//! The administration API over the parts of a running balancer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use sequoiatrail_admin::{
    AdminConfig, AdminServer, AdminState, BalancerReport, BalancerState, ExplainQuery, Explanation,
    FlowReport, Readiness, Role, Status, TargetReport, Token, launch,
};
use sequoiatrail_core::Core;
use sequoiatrail_events::{Event, Log};
use sequoiatrail_platform::{EditOutcome, Store};
use sequoiatrail_settings::{AdminSettings, TokenRole, TokenSettings};
use sequoiatrail_table::{Table, Target};
use sequoiatrail_types::{FailureDomain, FlowKey, RefusalReason, TableVersion, TargetId};

use crate::Result;
use crate::board::Board;
use crate::counters::{Count, CounterSet};
use crate::error::PartSnafu;
use crate::metrics::{Metrics, Sources};

/// The parts that the API shows and changes.
#[derive(Clone)]
pub(crate) struct Parts {
    pub core: Arc<Core>,
    pub counters: Arc<CounterSet>,
    pub board: Arc<Board>,
    pub log: Log,
    pub store: Option<Arc<Store>>,
    pub vm: String,
    pub domain: FailureDomain,
    /// Whether targets are probed.
    pub probes: bool,
    /// The other balancers.
    pub peers: Arc<dyn Fn() -> Vec<BalancerReport> + Send + Sync>,
}

/// Starts the API.
pub(crate) fn start(cfg: &AdminSettings, parts: &Parts) -> Result<AdminServer> {
    let metrics = Metrics::new(&Sources {
        core: Arc::clone(&parts.core),
        counters: Arc::clone(&parts.counters),
        board: Arc::clone(&parts.board),
        log: parts.log.clone(),
    })?;
    let admin = AdminConfig {
        listen: cfg.listen,
        open_metrics: cfg.open_metrics,
        tokens: cfg.tokens.iter().map(token).collect(),
        ..AdminConfig::default()
    };
    launch(admin, state(parts, metrics)).or_else(|e| {
        let reason = e.to_string();
        let part = "administration API";
        PartSnafu { part, reason }.fail()
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

fn state(parts: &Parts, metrics: Metrics) -> AdminState {
    let core = Arc::clone(&parts.core);
    let store = parts.store.clone();
    let [shown, explained, readied] = [(); 3].map(|()| parts.clone());
    let (board, log, audit) = (
        Arc::clone(&parts.board),
        parts.log.clone(),
        parts.log.clone(),
    );
    AdminState {
        table: Box::new(move || core.table()),
        edit: Box::new(move |edit, rows| match &store {
            Some(store) => store.edit_table(edit, |table| rows(table)),
            None => no_platform(),
        }),
        status: Box::new(move || status(&shown)),
        explain: Box::new(move |query| explain(&explained.core, query)),
        drain: Box::new(move || {
            log.emit(Event::DrainRequested {});
            board.draining.store(true, Ordering::Release);
        }),
        ready: Box::new(move || readiness(&readied)),
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
        message: "this balancer has no platform; ask one that has".into(),
        differing: Vec::new(),
        come_back: None,
    }
}

fn readiness(parts: &Parts) -> Readiness {
    let table = parts.core.table();
    let mut reasons = Vec::new();
    if table.version == TableVersion(0) {
        reasons.push("no table yet".to_owned());
    }
    for service in &table.services {
        if parts.core.plan_version(service.id).is_none() {
            reasons.push(format!("no plan of service {} yet", service.name));
        }
    }
    if parts.board.draining.load(Ordering::Acquire) {
        reasons.push("stopping".to_owned());
    }
    Readiness {
        ready: reasons.is_empty(),
        reasons,
    }
}

fn status(parts: &Parts) -> Status {
    let table = parts.core.table();
    let draining = parts.board.draining.load(Ordering::Acquire);
    let mut balancers = vec![BalancerReport {
        node: parts.core.node(),
        vm: parts.vm.clone(),
        failure_domain: parts.domain,
        state: if draining {
            BalancerState::Leaving
        } else {
            BalancerState::Alive
        },
        ready: parts.board.ready.load(Ordering::Relaxed),
        table: Some(table.version),
    }];
    balancers.extend((parts.peers)());
    let vms = parts.board.facts().vms.clone();
    for other in &mut balancers[1..] {
        other.vm = vms.get(&other.node).cloned().unwrap_or_default();
    }
    let services = table.services.iter();
    let plans = services.filter_map(|s| Some((s.id, parts.core.plan_version(s.id)?)));
    Status {
        node: parts.core.node(),
        vm: parts.vm.clone(),
        failure_domain: parts.domain,
        readiness: readiness(parts),
        draining,
        platform_reachable: parts.board.platform_reachable.load(Ordering::Relaxed),
        table: table.version,
        plans: plans.collect(),
        balancers,
        targets: targets(parts, &table),
        flows: flows(parts),
    }
}

fn flows(parts: &Parts) -> FlowReport {
    let count = |count| parts.counters.sum(count);
    FlowReport {
        open: parts.core.flow_stats().flows as u64,
        new: count(Count::ForwardedPlaced),
        refused: count(Count::Refused),
        broken: count(Count::Reset),
        relayed_packets: count(Count::Relayed),
    }
}

fn targets(parts: &Parts, table: &Table) -> Vec<TargetReport> {
    let facts = parts.board.facts();
    let mut buckets: HashMap<TargetId, u32> = HashMap::new();
    for bucket in facts.plans.values().flat_map(|plan| &plan.buckets) {
        *buckets.entry(bucket.target).or_default() += 1;
    }
    let report = |target: &Target| TargetReport {
        id: target.id,
        service: target.row.service.clone(),
        target: target.row.target.clone(),
        state: target.row.state.to_string(),
        health: health(parts, facts.down.contains(&target.id)).into(),
        open_flows: facts
            .open_flows
            .get(&target.id)
            .copied()
            .unwrap_or(0)
            .into(),
        buckets: buckets.get(&target.id).copied().unwrap_or(0),
    };
    table.targets.iter().map(report).collect()
}

fn health(parts: &Parts, down: bool) -> &'static str {
    match (parts.probes, down) {
        (_, true) => "dead",
        (true, false) => "healthy",
        (false, false) => "unknown",
    }
}

fn explain(core: &Core, query: &ExplainQuery) -> Result<Explanation, String> {
    let table = core.table();
    let service = table
        .service_named(&query.service)
        .ok_or_else(|| format!("no service {}", query.service))?;
    check_family(query.src, service.address)?;
    let info = core
        .explain(&FlowKey {
            protocol: service.protocol,
            src: query.src,
            dst: service.address,
        })
        .ok_or_else(|| format!("no plan of service {} yet", query.service))?;
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
    Err(format!("{src} and {dst} are not of one address family"))
}
