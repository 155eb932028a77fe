//! Objects of the store turned into changes of the balancer.

use std::sync::Arc;

use sequoiatrail_adapter::{Kind, Object, decode_manifest, decode_target, target_id};
use sequoiatrail_cookie::{Taken, TargetChange, TargetId, TargetNews};
use sequoiatrail_events::Event;

use super::shared::Shared;

/// The change that an entry of a target means; `None` if it names no target.
pub(super) fn target_change(shared: &Shared, object: &Object, gone: bool) -> Option<TargetChange> {
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
    if gone {
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

/// Puts the manifest of an object in force if it is newer.
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
    let taken = shared.lock().apply_manifest(manifest);
    log_manifest(shared, taken, version, (routes, left_out), source);
}

/// Logs that a manifest came into force, if it did; with the number of its
/// routes, and of those that were left out.
pub(super) fn log_manifest(
    shared: &Shared,
    taken: Taken,
    version: u64,
    (routes, left_out): (usize, usize),
    source: &'static str,
) {
    if let Taken::Applied { replaced } = taken {
        shared.log.emit(Event::ManifestInForce {
            version,
            replaced,
            routes,
            left_out,
            source,
        });
    }
}

/// Logs what changed of targets.
pub(super) fn log_news(
    shared: &Shared,
    news: &[(TargetId, TargetNews)],
    revision: u64,
    source: &'static str,
) {
    for (target, news) in news {
        shared.log.emit(Event::TargetChanged {
            target: target.to_string(),
            news: news.into(),
            revision,
            source,
        });
    }
}
