//! Checks the stand-in's objects against a reference model that keeps all writes.

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use sequoiatrail_platform::{Objects, ObjectsError, Precondition, Revision};
use serde_json::Value;

/// History limit; low, so that histories expire.
const HISTORY_LIMIT: usize = 5;

#[derive(Clone, Debug)]
enum Op {
    Put(u8, u8, Condition),
    Delete(u8, Condition),
    /// Compares the list, and the changes since this many writes ago.
    Compare(u64),
}

#[derive(Clone, Copy, Debug)]
enum Condition {
    Any,
    Absent,
    /// The current revision, or 0.
    Current,
    Wrong,
}

fn conditions() -> impl Strategy<Value = Condition> {
    prop_oneof![
        Just(Condition::Any),
        Just(Condition::Absent),
        Just(Condition::Current),
        Just(Condition::Wrong)
    ]
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let op = prop_oneof![
        4 => (0u8..4, any::<u8>(), conditions()).prop_map(|(k, v, c)| Op::Put(k, v, c)),
        1 => (0u8..4, conditions()).prop_map(|(k, c)| Op::Delete(k, c)),
        2 => (0u64..12).prop_map(Op::Compare),
    ];
    prop::collection::vec(op, 1..60)
}

/// All writes in order; the revision of a write is its index plus 1.
#[derive(Default)]
struct Model {
    writes: Vec<(String, Option<Value>)>,
}

impl Model {
    fn current_revision(&self, key: &str) -> Option<Revision> {
        let at = self.writes.iter().rposition(|(k, _)| k == key)?;
        let (_, value) = &self.writes[at];
        value.is_some().then_some(Revision(at as u64 + 1))
    }

    fn write(
        &mut self,
        key: &str,
        value: Option<Value>,
        precondition: Precondition,
    ) -> Result<Revision, ObjectsError> {
        let current = self.current_revision(key);
        let holds = match precondition {
            Precondition::Any => true,
            Precondition::Absent => current.is_none(),
            Precondition::Revision(revision) => current == Some(revision),
        };
        if !holds {
            return Err(ObjectsError::Conflict(current));
        }
        if value.is_some() || current.is_some() {
            self.writes.push((key.to_owned(), value));
        }
        Ok(Revision(self.writes.len() as u64))
    }

    /// Latest value of each key written after a revision.
    fn after(&self, after: u64) -> BTreeMap<String, Option<Value>> {
        self.writes[after as usize..].iter().cloned().collect()
    }
}

fn compare(objects: &Objects, model: &Model, ago: u64) -> Result<(), TestCaseError> {
    let all = [String::new()];
    let newest = model.writes.len() as u64;
    let listed = objects.list(&all);
    prop_assert_eq!(listed.revision, Revision(newest));
    let listed: BTreeMap<_, _> = listed
        .objects
        .into_iter()
        .map(|o| (o.key, Some(o.value)))
        .collect();
    let mut expected = model.after(0);
    expected.retain(|_, value| value.is_some());
    prop_assert_eq!(listed, expected);

    let after = newest.saturating_sub(ago);
    match objects.changes_after(&all, Revision(after)) {
        Ok(found) => {
            let found: BTreeMap<_, _> = found
                .changes
                .into_iter()
                .map(|c| (c.key, c.value))
                .collect();
            prop_assert_eq!(found, model.after(after));
        }
        Err(e) => {
            prop_assert_eq!(e, ObjectsError::HistoryExpired);
            prop_assert!(newest - after > HISTORY_LIMIT as u64, "expired too early");
        }
    }
    Ok(())
}

fn precondition(model: &Model, key: &str, condition: Condition) -> Precondition {
    let latest = model.current_revision(key).unwrap_or_default();
    match condition {
        Condition::Any => Precondition::Any,
        Condition::Absent => Precondition::Absent,
        Condition::Current => Precondition::Revision(latest),
        Condition::Wrong => Precondition::Revision(Revision(latest.0 + 1)),
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 1_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(19),
        ..Config::default()
    })]

    #[test]
    fn objects_behave_like_the_model(ops in ops()) {
        let mut objects = Objects::new(HISTORY_LIMIT);
        let mut model = Model::default();
        for op in ops {
            match op {
                Op::Put(key, value, condition) => {
                    let key = format!("plans/{key}");
                    let precondition = precondition(&model, &key, condition);
                    let value = Value::from(value);
                    let expected = model.write(&key, Some(value.clone()), precondition);
                    prop_assert_eq!(objects.put(&key, value, precondition), expected);
                }
                Op::Delete(key, condition) => {
                    let key = format!("plans/{key}");
                    let precondition = precondition(&model, &key, condition);
                    let expected = model.write(&key, None, precondition);
                    prop_assert_eq!(objects.delete(&key, precondition), expected);
                }
                Op::Compare(ago) => compare(&objects, &model, ago)?,
            }
        }
    }
}
