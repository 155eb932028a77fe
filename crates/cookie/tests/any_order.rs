//! Any packets and any news in any order: nothing panics, and no packet goes to
//! a target that is gone, drains, or belongs to another service than its route.

mod common;

use common::{ONCE, REPEATABLE, World, ack, data, entry, manifest, ms, route, syn};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use sequoiatrail_cookie::{
    Cookie, Decision, Lifecycle, PlaceReason, TargetChange, TargetEntry, TargetId,
};

/// Cases in CI; set `SEQUOIATRAIL_CASES` for more.
const CASES: u32 = 500;

#[derive(Clone, Debug)]
enum Step {
    Syn(u16, bool, u32),
    Data(u16, bool, u64, u32, u32),
    Ack(u16, bool, u64, u32),
    End(u16, bool, u64),
    List(u64, bool, bool, u64),
    Broken(u64),
    Gone(u64, bool),
    Probes(bool),
    Pass(u64),
    Manifest(bool),
}

fn step() -> impl Strategy<Value = Step> {
    let caller = 1..12_u16;
    let id = 0..6_u64;
    prop_oneof![
        4 => (caller.clone(), any::<bool>(), 0..3_u32).prop_map(|(c, r, n)| Step::Syn(c, r, n)),
        4 => (caller.clone(), any::<bool>(), id.clone(), 0..4_u32, 0..4_u32)
            .prop_map(|(c, r, t, s, a)| Step::Data(c, r, t, s, a)),
        1 => (caller.clone(), any::<bool>(), id.clone(), 0..4_u32)
            .prop_map(|(c, r, t, a)| Step::Ack(c, r, t, a)),
        1 => (caller, any::<bool>(), id.clone()).prop_map(|(c, r, t)| Step::End(c, r, t)),
        2 => (id.clone(), any::<bool>(), any::<bool>(), 0..3_u64)
            .prop_map(|(t, d, s, b)| Step::List(t, d, s, b)),
        1 => id.clone().prop_map(Step::Broken),
        1 => (id, any::<bool>()).prop_map(|(t, s)| Step::Gone(t, s)),
        1 => any::<bool>().prop_map(Step::Probes),
        3 => (0..1_000_u64).prop_map(Step::Pass),
        1 => any::<bool>().prop_map(Step::Manifest),
    ]
}

fn port(repeatable: bool) -> u16 {
    if repeatable { REPEATABLE } else { ONCE }
}

/// What the test knows of the targets: service, and whether new flows may come.
type Known = std::collections::HashMap<TargetId, (String, bool)>;

fn check(decision: Decision, known: &Known) -> Result<(), TestCaseError> {
    let Decision::Forward { target, reason, .. } = decision else {
        return Ok(());
    };
    let Some((service, takes)) = known.get(&target) else {
        return Err(TestCaseError::fail(format!("{target} is gone")));
    };
    let opening = matches!(
        reason,
        PlaceReason::Placed | PlaceReason::Moved | PlaceReason::Repeated
    );
    if opening {
        prop_assert!(*takes, "{} takes no flows", target);
        prop_assert_eq!(service, "app");
    }
    Ok(())
}

fn play(steps: Vec<Step>) -> Result<(), TestCaseError> {
    let mut world = World::new(0, 0);
    let mut known = Known::new();
    let mut version = 1;
    for step in steps {
        let decision = match step {
            Step::Syn(c, r, n) => world.decide(syn(c, port(r), n)),
            Step::Data(c, r, t, s, a) => world.decide(data(c, port(r), Cookie(t as u32), s, a)),
            Step::Ack(c, r, t, a) => world.decide(ack(c, port(r), Cookie(t as u32), a)),
            Step::End(c, r, t) => {
                let mut seg = data(c, port(r), Cookie(t as u32), 1, 1);
                seg.flags.fin = true;
                world.decide(seg)
            }
            Step::List(t, draining, other, born) => {
                let id = TargetId(t + 1);
                let service = if other { "other" } else { "app" };
                let lifecycle = match draining {
                    true => Lifecycle::Draining,
                    false => Lifecycle::Ready,
                };
                let entry = TargetEntry {
                    id,
                    service: service.into(),
                    lifecycle,
                    born_ms: Some(born),
                    ..entry(t + 1, "a")
                };
                world.change(vec![TargetChange::Present(entry)], true);
                known.insert(id, (service.into(), !draining));
                continue;
            }
            Step::Broken(t) => {
                let id = TargetId(t + 1);
                world.change(vec![TargetChange::Unreadable(id)], true);
                if let Some(known) = known.get_mut(&id) {
                    known.1 = false;
                }
                continue;
            }
            Step::Gone(t, settled) => {
                let id = TargetId(t + 1);
                world.change(vec![TargetChange::Gone(id)], settled);
                match settled {
                    true => drop(known.remove(&id)),
                    false => {
                        if let Some(known) = known.get_mut(&id) {
                            known.1 = false;
                        }
                    }
                }
                continue;
            }
            Step::Probes(answered) => {
                world.answer_probes(|_| answered);
                continue;
            }
            Step::Pass(time) => {
                world.pass(ms(time));
                world.balancer.sweep(world.now);
                continue;
            }
            Step::Manifest(both) => {
                version += 1;
                let mut routes = vec![route(REPEATABLE, &[("app", 1)])];
                if both {
                    routes.push(route(ONCE, &[("app", 1)]));
                }
                world.balancer.apply_manifest(manifest(version, routes));
                continue;
            }
        };
        check(decision, &known)?;
    }
    Ok(())
}

#[test]
fn no_packet_goes_where_it_must_not() {
    let cases = std::env::var("SEQUOIATRAIL_CASES").ok();
    let cfg = Config {
        cases: cases.and_then(|n| n.parse().ok()).unwrap_or(CASES),
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(cfg, rng);
    let steps = prop::collection::vec(step(), 1..80);
    runner.run(&steps, play).unwrap();
}
