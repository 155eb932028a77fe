//! Applies store objects to the balancer.

use std::fmt::Display;
use std::sync::{Arc, MutexGuard};

use sequoiatrail_adapter::{
    Kind, Object, ObjectEvent, decode_manifest, decode_registration, target_id,
};
use sequoiatrail_cookie::{
    Balancer, EvacuationChange, EvacuationEvent, EvacuationList, ManifestOutcome, Registration,
    RegistrationOutcome, TargetChange, TargetEvent, TargetId,
};
use sequoiatrail_events::Event;
use sequoiatrail_types::StoreRevision;

use super::shared::Shared;
use crate::counters::Count;

/// Reason in log lines for an object that shares its digits with a target.
const SHARED_IDENTITY: &str = "its name holds the ID of a target that is registered under another";

/// Converts a target entry to a registration; `None` if its name holds no target ID.
pub(super) fn registration(
    shared: &Shared,
    object: &Object,
    deleted: bool,
) -> Option<Registration> {
    let id = match target_id(&object.name) {
        Ok(id) => id,
        Err(e) => {
            log_passed_over(shared, Kind::Targets, &object.name, &e);
            return None;
        }
    };
    let change = match deleted {
        true => TargetChange::Gone(id),
        false => match decode_registration(id, &object.content) {
            Ok(entry) => TargetChange::Present(entry),
            Err(e) => {
                log_passed_over(shared, Kind::Targets, &object.name, &e);
                TargetChange::Unreadable(id)
            }
        },
    };
    Some(Registration {
        name: Arc::from(object.name.as_str()),
        created: object.created,
        change,
    })
}

/// Logs what registrations have changed, and which of them were passed over.
pub(super) fn log_registrations(
    shared: &Shared,
    outcome: &RegistrationOutcome,
    revision: StoreRevision,
    source: &'static str,
) {
    for name in &outcome.passed_over {
        log_passed_over(shared, Kind::Targets, name, &SHARED_IDENTITY);
    }
    log_target_events(shared, &outcome.events, revision, source);
}

/// Counts an object that is passed over, and logs it, rate limited: another writer may
/// leave any number of them.
pub(super) fn log_passed_over(shared: &Shared, kind: Kind, name: &str, error: &impl Display) {
    shared.passed_over.add(Count::EntriesPassedOver, 1);
    let now = shared.clock.now();
    if let Some(skipped) = shared.log_limits.passed_over.admit(now) {
        shared.log.emit(Event::EntryUnreadable {
            object: format!("{}/{name}", kind.name()),
            error: error.to_string(),
            skipped,
        });
    }
}

/// Applies the manifest in an object if it is newer than the current one.
pub(super) fn apply_manifest(shared: &Shared, object: &Object, source: &'static str) {
    if object.name != Kind::MANIFEST_NAME {
        return;
    }
    let content = object.content.value();
    let decoded = match content.and_then(|spec| decode_manifest(&spec)) {
        Ok(decoded) => decoded,
        Err(e) => {
            log_passed_over(shared, Kind::Manifest, &object.name, &e);
            return;
        }
    };
    let left_out = decoded.invalid_routes.len();
    let manifest = Arc::new(decoded.manifest);
    let (version, routes) = (manifest.version, manifest.routes.len());
    let outcome = shared.lock().apply_manifest(manifest, object.revision);
    log_manifest(shared, outcome, version, (routes, left_out), source);
}

/// Logs a manifest that was applied, with the number of its routes and of invalid
/// routes left out.
pub(super) fn log_manifest(
    shared: &Shared,
    outcome: ManifestOutcome,
    version: u64,
    (routes, left_out): (usize, usize),
    source: &'static str,
) {
    if let ManifestOutcome::Applied { replaced } = outcome {
        shared.log.emit(Event::ManifestInForce {
            version,
            replaced,
            routes,
            left_out,
            source,
        });
    }
}

/// Applies a complete list of evacuations.
pub(super) fn replace_evacuations(
    shared: &Shared,
    mut balancer: MutexGuard<'_, Balancer>,
    domains: Vec<Arc<str>>,
    revision: StoreRevision,
) {
    let now = shared.clock.now();
    let list = EvacuationList { revision, domains };
    let events = balancer.replace_evacuations(now, list);
    drop(balancer);
    log_evacuations(shared, &events, "list");
}

/// Applies changes of evacuations.
pub(super) fn change_evacuations(shared: &Shared, events: &[ObjectEvent], revision: StoreRevision) {
    let changes = events.iter().map(|e| EvacuationChange {
        domain: Arc::from(e.object.name.as_str()),
        evacuated: !e.deleted,
    });
    let changes = changes.collect();
    let now = shared.clock.now();
    let events = shared.lock().change_evacuations(now, revision, changes);
    log_evacuations(shared, &events, "watch");
}

/// Logs changes of evacuations, with what is left in each failure domain.
pub(super) fn log_evacuations(
    shared: &Shared,
    events: &[(Arc<str>, EvacuationEvent)],
    source: &'static str,
) {
    for (domain, event) in events {
        let balancer = shared.lock();
        let listed = balancer.directory().listed();
        let targets = listed.filter(|t| t.domain == *domain).count();
        let flows = balancer.flows_in_domain(domain);
        let revision = balancer.evacuations().revision().number;
        drop(balancer);
        shared.log.emit(Event::EvacuationChanged {
            failure_domain: domain.to_string(),
            change: event.into(),
            revision,
            source,
            targets,
            flows,
        });
    }
}

/// Logs changes of targets.
pub(super) fn log_target_events(
    shared: &Shared,
    events: &[(TargetId, TargetEvent)],
    revision: StoreRevision,
    source: &'static str,
) {
    log_restored_list(shared, events, revision);
    for (target, event) in events {
        shared.log.emit(Event::TargetChanged {
            target: target.to_string(),
            news: event.into(),
            revision: revision.number,
            source,
        });
    }
}

/// Logs how many targets a restored store lacks or lists again, if any.
fn log_restored_list(shared: &Shared, events: &[(TargetId, TargetEvent)], revision: StoreRevision) {
    let count = |wanted: TargetEvent| events.iter().filter(|(_, event)| *event == wanted).count();
    let unconfirmed = count(TargetEvent::Unconfirmed);
    let relisted = count(TargetEvent::Relisted);
    if unconfirmed + relisted > 0 {
        shared.log.emit(Event::RestoredList {
            era: revision.era.0,
            revision: revision.number,
            unconfirmed,
            relisted,
        });
    }
}
