//! Applies store objects to the balancer.

use std::sync::Arc;

use sequoiatrail_adapter::{Kind, Object, ObjectEvent, decode_manifest, decode_target, target_id};
use sequoiatrail_cookie::{
    EvacuationChange, EvacuationEvent, EvacuationList, ManifestOutcome, TargetChange, TargetEvent,
    TargetId,
};
use sequoiatrail_events::Event;
use sequoiatrail_types::StoreRevision;

use super::shared::Shared;

/// Converts a target entry to a change; `None` if its name holds no target ID.
pub(super) fn target_change(
    shared: &Shared,
    object: &Object,
    deleted: bool,
) -> Option<TargetChange> {
    let unreadable = |error: String| {
        shared.log.emit(Event::EntryUnreadable {
            object: format!("{}/{}", Kind::Targets.name(), object.name),
            error,
        });
    };
    let id = match target_id(&object.name) {
        Ok(id) => id,
        Err(e) => {
            unreadable(e.to_string());
            return None;
        }
    };
    if deleted {
        return Some(TargetChange::Gone(id));
    }
    match decode_target(id, &object.spec) {
        Ok(entry) => Some(TargetChange::Present(entry)),
        Err(e) => {
            unreadable(e.to_string());
            Some(TargetChange::Unreadable(id))
        }
    }
}

/// Applies the manifest in an object if it is newer than the current one.
pub(super) fn apply_manifest(shared: &Shared, object: &Object, source: &'static str) {
    if object.name != Kind::MANIFEST_NAME {
        return;
    }
    let decoded = match decode_manifest(&object.spec) {
        Ok(decoded) => decoded,
        Err(e) => {
            shared.log.emit(Event::EntryUnreadable {
                object: format!("{}/{}", Kind::Manifest.name(), object.name),
                error: e.to_string(),
            });
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
pub(super) fn replace_evacuations(shared: &Shared, objects: &[Object], revision: StoreRevision) {
    let domains = objects.iter().map(|o| Arc::from(o.name.as_str()));
    let domains = domains.collect();
    let now = shared.clock.now();
    let list = EvacuationList { revision, domains };
    let events = shared.lock().replace_evacuations(now, list);
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
