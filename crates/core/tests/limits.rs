//! Connection limits of targets over all balancers.

mod common;

use common::{Fabric, data, fin, ms, row, syn};
use sequoiatrail_core::{CoreConfig, Decision, Event};
use sequoiatrail_table::{Row, TargetState};
use sequoiatrail_types::{Protocol, RefusalReason, TargetId};

const LIMIT: u32 = 60;
/// New flows per second over all balancers.
const NEW_PER_SECOND: u32 = 40;

fn limited(n: u8) -> Vec<Row> {
    (0..n)
        .map(|t| Row {
            max_connections: LIMIT,
            drain_limit_s: 20,
            ..row(t, Protocol::Tcp)
        })
        .collect()
}

fn fabric(n: usize, targets: u8) -> Fabric {
    let mut f = Fabric::with(n, limited(targets), 3, CoreConfig::default());
    f.shares = true;
    f
}

fn on(f: &Fabric, target: u32, clients: u32) -> u32 {
    let on = |c: &u32| f.targets(*c) == [TargetId(target)];
    (0..clients).filter(on).count() as u32
}

/// Opens flows for some seconds; each keeps sending packets.
fn load(f: &mut Fabric, from: u32, seconds: u32) -> u32 {
    let mut next = from;
    for step in 0..10 * seconds {
        for client in from..next {
            if !f.refused.contains_key(&client) {
                f.spray(data(client, step));
            }
        }
        for _ in 0..NEW_PER_SECOND / 10 {
            f.spray(syn(next));
            next += 1;
        }
        f.run(ms(100));
    }
    next
}

#[test]
fn limit_is_exceeded_by_at_most_the_flows_of_one_share_interval() {
    for n in [1, 2, 6] {
        let mut f = fabric(n, 3);
        let clients = load(&mut f, 0, 12);
        for target in 0..3 {
            let open = on(&f, target, clients);
            // A third of the new flows goes to each target. The flow counts are
            // up to one second old, and their delivery takes up to two ticks.
            let bound = LIMIT + NEW_PER_SECOND / 3 + NEW_PER_SECOND / 10;
            assert!(open <= bound, "{n} balancers: {open} on target {target}");
            assert!(open >= LIMIT * 3 / 4, "{n} balancers: {open} on {target}");
        }
        assert!(!f.refused.is_empty());
        let full = Decision::Refuse(RefusalReason::AllFull);
        assert!(f.refused.values().all(|d| *d == full));
    }
}

#[test]
fn ended_flows_make_room_wherever_their_end_was_seen() {
    let mut f = fabric(3, 1);
    let clients = load(&mut f, 0, 4);
    let open: Vec<u32> = (0..clients)
        .filter(|c| !f.refused.contains_key(c))
        .collect();
    for client in &open {
        f.spray(fin(*client));
    }
    f.run(ms(3_000));
    f.refused.clear();
    for client in 10_000..10_000 + LIMIT - 5 {
        f.spray(syn(client));
        f.run(ms(100));
    }
    assert_eq!(f.refused.len(), 0);
}

#[test]
fn owner_of_an_open_bucket_skips_a_full_target() {
    let mut f = fabric(3, 3);
    f.move_buckets(64, TargetId(0));
    let clients = load(&mut f, 0, 3);
    // All buckets belong to target 0 and are open only until they are settled.
    // While the target is down they stay open.
    let agreed_at = f.now;
    let target = TargetId(0);
    f.deliver_to_all(&Event::TargetDown { target, agreed_at });
    let clients = load(&mut f, clients, 6);
    for target in 1..3 {
        let open = on(&f, target, clients);
        assert!(open <= LIMIT + NEW_PER_SECOND, "{open} on {target}");
        assert!(open >= LIMIT * 3 / 4, "{open} on {target}");
    }
}

#[test]
fn flows_of_a_stopped_target_are_reset_after_its_drain_limit() {
    let mut f = fabric(2, 2);
    f.run_flows(0..20, 3);
    let mut rows = limited(2);
    rows[0].state = TargetState::Stopped;
    let table = f.edit(&rows);
    f.deliver_to_all(&Event::Table(table));
    f.run(ms(19_000));
    let old: Vec<u32> = (0..20).filter(|c| f.targets(*c) == [TargetId(0)]).collect();
    assert!(!old.is_empty());
    for client in &old {
        f.send(0, data(*client, 50));
    }
    f.run(ms(100));
    assert!(f.refused.is_empty());
    f.run(ms(2_000));
    for client in &old {
        f.send(0, data(*client, 51));
        f.run(ms(10));
        assert_eq!(f.refused.get(client), Some(&Decision::Reset));
    }
}
