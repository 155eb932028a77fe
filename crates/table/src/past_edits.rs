//! Bounded history of edit IDs, used to resolve edits whose response was lost.

use std::hash::Hasher;

use sequoiatrail_types::TableVersion;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::EditId;

/// Max number of earlier edits that a table records.
const MAX_PAST_EDITS: usize = 64;

/// Digests of the edits before the current one, oldest first. Each edit creates
/// exactly one version, so an entry's position determines its version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct PastEdits {
    digests: Vec<u64>,
}

impl PastEdits {
    /// Returns a copy with `edit` appended; drops the oldest entry when full.
    pub(crate) fn with_edit(&self, edit: &EditId) -> PastEdits {
        let dropped = (self.digests.len() + 1).saturating_sub(MAX_PAST_EDITS);
        let mut digests = self.digests[dropped..].to_vec();
        digests.push(digest(edit));
        PastEdits { digests }
    }

    /// Returns the version that `edit` created, if it is recorded; `current` is
    /// the version that the current edit created.
    pub(crate) fn version_of(&self, edit: &EditId, current: TableVersion) -> Option<TableVersion> {
        let digest = digest(edit);
        let at = self.digests.iter().rposition(|d| *d == digest)?;
        let age = (self.digests.len() - at) as u64;
        Some(TableVersion(current.0.checked_sub(age)?))
    }

    /// Number of recorded edits.
    pub(crate) fn len(&self) -> usize {
        self.digests.len()
    }
}

/// Stored, so it must be the same on every balancer and in every release.
/// Needs no secret key: edit IDs are random, and an editor that forges a
/// collision only affects its own edits.
fn digest(edit: &EditId) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0, 0);
    hasher.write(edit.0.as_bytes());
    hasher.finish()
}
