//! Threads that read from and write to the platform.

use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender};
use std::thread;
use std::time::Duration;

use sequoiatrail_events::{Event, Log};
use sequoiatrail_plan::{Plan, Proposal};
use sequoiatrail_platform::{
    Client, ClientConfig, Edit, EditOutcome, Error as PlatformError, FollowConfig, StandIn,
    StandInConfig, Store, StoreEvent,
};
use sequoiatrail_settings::PlatformSettings;
use sequoiatrail_table::{EditId, from_csv};
use sequoiatrail_types::{Clock, Verdict};

use crate::control_messages::{Input, Write};
use crate::error::{ComponentSnafu, InitialTableSnafu};
use crate::{Result, StopFlag};

/// Interval at which a non-watching balancer checks whether it must watch.
const WATCHER_POLL: Duration = Duration::from_millis(500);

/// Connection to the configured platform.
pub(crate) struct PlatformLink {
    /// `None` if table and plans come only from other balancers.
    pub store: Option<Arc<Store>>,
    /// Stopped when the link is dropped.
    _embedded: Option<StandIn>,
}

/// Opens the platform; starts an embedded one and loads its initial table.
pub(crate) fn open(cfg: &PlatformSettings, clock: &Arc<dyn Clock>) -> Result<PlatformLink> {
    if !cfg.embedded {
        let store = cfg.endpoint.map(|endpoint| store(cfg, endpoint, clock));
        return Ok(PlatformLink {
            store,
            _embedded: None,
        });
    }
    let stand_in = StandInConfig {
        listen: cfg.embedded_listen,
        clock: Arc::clone(clock),
        ..StandInConfig::default()
    };
    let embedded = match StandIn::start(stand_in) {
        Ok(embedded) => embedded,
        Err(e) => {
            let reason = e.to_string();
            let component = "embedded platform";
            return ComponentSnafu { component, reason }.fail();
        }
    };
    let store = store(cfg, embedded.addr(), clock);
    if !cfg.embedded_table.is_empty() {
        load_initial_table(&store, &cfg.embedded_table)?;
    }
    Ok(PlatformLink {
        store: Some(store),
        _embedded: Some(embedded),
    })
}

fn store(
    cfg: &PlatformSettings,
    endpoint: std::net::SocketAddr,
    clock: &Arc<dyn Clock>,
) -> Arc<Store> {
    let client = Client::new(ClientConfig {
        endpoint,
        call_timeout: Duration::from_millis(cfg.timeout_ms),
        clock: Arc::clone(clock),
        ..ClientConfig::default()
    });
    Arc::new(Store::new(Arc::new(client)))
}

fn load_initial_table(store: &Store, file: &str) -> Result<()> {
    let failed = |reason: String| InitialTableSnafu { file, reason }.fail();
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(e) => return failed(e.to_string()),
    };
    let rows = match from_csv(&text) {
        Ok(rows) => rows,
        Err(e) => return failed(e.to_string()),
    };
    let edit = Edit {
        id: EditId("first-table".into()),
        base: None,
        repeated: false,
    };
    match store.edit_table(&edit, |_| Ok(rows.clone())) {
        EditOutcome::Accepted { .. } => Ok(()),
        EditOutcome::NotRun { message, .. } | EditOutcome::Unknown { message, .. } => {
            failed(message)
        }
    }
}

/// Follows the platform and passes its events to the control thread until `stop`
/// is set. After the first synchronization it continues only while `should_watch`
/// returns true; other balancers receive updates from their peers.
pub(crate) fn follow(
    store: &Arc<Store>,
    inputs: &Sender<Input>,
    stop: &StopFlag,
    should_watch: impl Fn() -> bool,
) {
    let mut follower = store.follow(FollowConfig::default(), rand::random());
    let mut synced = false;
    while !stop.is_set() {
        if synced && !should_watch() {
            thread::sleep(WATCHER_POLL);
            continue;
        }
        for event in follower.step() {
            synced |= matches!(event, StoreEvent::Synced(_));
            if inputs.send(Input::Store(event)).is_err() {
                return;
            }
        }
    }
}

/// Processes writes to the platform until the queue is closed.
pub(crate) fn write(store: &Store, writes: &Receiver<Write>, inputs: &Sender<Input>, log: &Log) {
    while let Ok(write) = writes.recv() {
        match write {
            Write::Plan(proposal) => write_plan(store, proposal, inputs, log),
            // Failed status writes need no retry: the next one replaces them.
            Write::Status(status) => drop(store.write_status(&status)),
            Write::Remove(node) => drop(store.remove_status(node)),
        }
    }
}

fn write_plan(store: &Store, proposal: Proposal, inputs: &Sender<Input>, log: &Log) {
    let Proposal {
        plan,
        expected_version,
    } = proposal;
    let written = store.write_plan(&plan, expected_version);
    log.emit(Event::PlanProposed {
        service: plan.service.0,
        version: plan.version.0,
        outcome: describe_outcome(written.as_ref().map(drop)),
    });
    if written.is_ok() {
        // The watch delivers it too, but later. The queue is closed only on shutdown.
        let _ = inputs.send(Input::Store(StoreEvent::Plan(Arc::<Plan>::new(plan))));
    }
}

fn describe_outcome(written: Result<(), &PlatformError>) -> String {
    let Err(e) = written else {
        return "accepted".into();
    };
    match e.verdict() {
        Verdict::NotRun(reason) => format!("not run: {reason}"),
        Verdict::MayHaveRun | Verdict::Done => format!("unknown: {e}"),
    }
}
