//! The stand-in's objects against a naive version that keeps every write.

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use sequoiatrail_platform::{Objects, ObjectsError, Precondition, Revision};
use serde_json::Value;

/// Changes that the objects keep; few, so that histories expire.
const HISTORY: usize = 5;

#[derive(Clone, Debug)]
enum Op {
    Put(u8, u8, Condition),
    Delete(u8, Condition),
    /// Compare the list and the changes after the revision so many writes ago.
    Look(u64),
}

#[derive(Clone, Copy, Debug)]
enum Condition {
    Any,
    Absent,
    /// The revision in force, or 0.
    InForce,
    Wrong,
}

fn conditions() -> impl Strategy<Value = Condition> {
    prop_oneof![
        Just(Condition::Any),
        Just(Condition::Absent),
        Just(Condition::InForce),
        Just(Condition::Wrong)
    ]
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let op = prop_oneof![
        4 => (0u8..4, any::<u8>(), conditions()).prop_map(|(k, v, c)| Op::Put(k, v, c)),
        1 => (0u8..4, conditions()).prop_map(|(k, c)| Op::Delete(k, c)),
        2 => (0u64..12).prop_map(Op::Look),
    ];
    prop::collection::vec(op, 1..60)
}

/// Every write ever made, in order; the revision of a write is its place plus 1.
#[derive(Default)]
struct Naive {
    writes: Vec<(String, Option<Value>)>,
}

impl Naive {
    fn in_force(&self, key: &str) -> Option<Revision> {
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
        let current = self.in_force(key);
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

    /// Newest value of each key written after a revision.
    fn after(&self, after: u64) -> BTreeMap<String, Option<Value>> {
        self.writes[after as usize..].iter().cloned().collect()
    }
}

fn look(objects: &Objects, naive: &Naive, ago: u64) -> Result<(), TestCaseError> {
    let all = [String::new()];
    let newest = naive.writes.len() as u64;
    let listed = objects.list(&all);
    prop_assert_eq!(listed.revision, Revision(newest));
    let listed: BTreeMap<_, _> = listed
        .objects
        .into_iter()
        .map(|o| (o.key, Some(o.value)))
        .collect();
    let mut wanted = naive.after(0);
    wanted.retain(|_, value| value.is_some());
    prop_assert_eq!(listed, wanted);

    let after = newest.saturating_sub(ago);
    match objects.changes_after(&all, Revision(after)) {
        Ok(seen) => {
            let seen: BTreeMap<_, _> = seen.changes.into_iter().map(|c| (c.key, c.value)).collect();
            prop_assert_eq!(seen, naive.after(after));
        }
        Err(e) => {
            prop_assert_eq!(e, ObjectsError::HistoryExpired);
            prop_assert!(newest - after > HISTORY as u64, "expired too early");
        }
    }
    Ok(())
}

fn precondition(naive: &Naive, key: &str, condition: Condition) -> Precondition {
    let in_force = naive.in_force(key).unwrap_or_default();
    match condition {
        Condition::Any => Precondition::Any,
        Condition::Absent => Precondition::Absent,
        Condition::InForce => Precondition::Revision(in_force),
        Condition::Wrong => Precondition::Revision(Revision(in_force.0 + 1)),
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
    fn the_objects_do_what_the_naive_version_does(ops in ops()) {
        let mut objects = Objects::new(HISTORY);
        let mut naive = Naive::default();
        for op in ops {
            match op {
                Op::Put(key, value, condition) => {
                    let key = format!("plans/{key}");
                    let precondition = precondition(&naive, &key, condition);
                    let value = Value::from(value);
                    let wanted = naive.write(&key, Some(value.clone()), precondition);
                    prop_assert_eq!(objects.put(&key, value, precondition), wanted);
                }
                Op::Delete(key, condition) => {
                    let key = format!("plans/{key}");
                    let precondition = precondition(&naive, &key, condition);
                    let wanted = naive.write(&key, None, precondition);
                    prop_assert_eq!(objects.delete(&key, precondition), wanted);
                }
                Op::Look(ago) => look(&objects, &naive, ago)?,
            }
        }
    }
}
