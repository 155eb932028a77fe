//! Flows keep their targets while a plan changes.

mod common;

use common::{Fabric, SERVICE, data, ms, node, row, rows, syn};
use sequoiatrail_core::{CoreConfig, Event};
use sequoiatrail_table::TargetState;
use sequoiatrail_types::{Protocol, TargetId};

const A: TargetId = TargetId(0);
const B: TargetId = TargetId(1);
const C: TargetId = TargetId(2);

/// A fabric whose bucket 0 belongs to target `A`.
fn fabric(n: usize) -> Fabric {
    let mut f = Fabric::new(n, 3, 1);
    let plan = f.move_bucket(0, A);
    f.deliver_to_all(&Event::Plan(plan));
    f.run(ms(60_000));
    f
}

/// Sends a packet of a flow to every balancer.
fn send_to_all(f: &mut Fabric, client: u32, sequence: u32) {
    for index in f.live() {
        f.send(index, data(client, sequence));
        f.run(ms(10));
    }
}

#[test]
fn old_flow_keeps_its_target_at_balancers_that_never_saw_it() {
    let mut f = fabric(3);
    let client = f.client_in(0, 0);
    f.send(0, syn(client));
    let plan = f.move_bucket(0, B);
    f.deliver_to_all(&Event::Plan(plan));
    f.run(ms(500));
    send_to_all(&mut f, client, 1);
    assert_eq!(f.targets(client), [A]);
}

#[test]
fn new_flow_follows_the_plan_that_all_have_prepared() {
    let mut f = fabric(3);
    let plan = f.move_bucket(0, B);
    f.deliver_to_all(&Event::Plan(plan));
    f.run(ms(500));
    let client = f.client_in(0, 0);
    f.send(0, syn(client));
    f.run(ms(10));
    send_to_all(&mut f, client, 1);
    assert_eq!(f.targets(client), [B]);
}

#[test]
fn new_flow_stays_on_the_baseline_until_all_have_prepared() {
    let mut f = fabric(3);
    let plan = f.move_bucket(0, B);
    f.deliver(0, Event::Plan(plan.clone()));
    f.deliver(1, Event::Plan(plan.clone()));
    f.run(ms(1_000));
    let client = f.client_in(0, 0);
    f.send(0, syn(client));
    f.run(ms(10));
    f.deliver(2, Event::Plan(plan));
    f.run(ms(1_000));
    send_to_all(&mut f, client, 1);
    assert_eq!(f.targets(client), [A]);
}

#[test]
fn balancers_on_three_plans_send_a_flow_to_one_target() {
    for seed in 0..20 {
        let mut f = fabric(3);
        f.delay = ms(50);
        let first = f.move_bucket(0, B);
        let second = f.move_bucket(0, C);
        f.deliver(0, Event::Plan(first.clone()));
        f.deliver(1, Event::Plan(second.clone()));
        f.deliver_later(1, ms(300), Event::Plan(first.clone()));
        f.deliver_later(2, ms(400 + 40 * seed), Event::Plan(first));
        f.deliver_later(0, ms(700), Event::Plan(second.clone()));
        f.deliver_later(2, ms(900), Event::Plan(second));
        let mut clients = Vec::new();
        let mut next = 1_000 * seed as u32;
        for step in 0..30 {
            let client = f.client_in(0, next);
            next = client + 1;
            f.spray(syn(client));
            clients.push(client);
            f.run(ms(45));
            for client in &clients {
                f.spray(data(*client, step));
            }
        }
        f.run(ms(1_000));
        for client in clients {
            assert_eq!(f.targets(client).len(), 1, "client {client} seed {seed}");
        }
        assert_eq!(
            f.balancers[2].core.plan_version(SERVICE),
            Some(f.plan.version)
        );
    }
}

#[test]
fn retransmitted_first_packets_reach_one_target_at_any_balancer() {
    let mut f = fabric(4);
    let plan = f.move_bucket(0, B);
    for index in 0..4 {
        f.deliver_later(index, ms(100 * index as u64), Event::Plan(plan.clone()));
    }
    let mut clients = Vec::new();
    for step in 0..12 {
        let client = f.client_in(0, 1_000 * step);
        clients.push(client);
        for client in &clients {
            f.spray(syn(*client));
        }
        f.run(ms(50));
    }
    for client in clients {
        send_to_all(&mut f, client, 1);
        assert_eq!(f.targets(client).len(), 1, "client {client}");
    }
}

#[test]
fn first_packet_retransmitted_after_the_switch_reaches_the_first_target() {
    for wait in [5, 60, 110, 150, 210] {
        let mut f = fabric(4);
        let clients: Vec<_> = (0..40).map(|i| f.client_in(0, 1_000 * i)).collect();
        for client in &clients {
            f.spray(syn(*client));
        }
        f.run(ms(10));
        let plan = f.move_bucket(0, B);
        f.deliver_to_all(&Event::Plan(plan));
        f.run(ms(wait));
        assert!(f.open_buckets() > 0);
        for client in &clients {
            f.spray(syn(*client));
        }
        f.run(ms(10));
        for client in clients {
            assert_eq!(f.targets(client), [A], "client {client} after {wait} ms");
        }
    }
}

#[test]
fn flow_of_a_dead_owner_is_known_to_its_backup() {
    for victim in 0..3 {
        let mut f = fabric(3);
        let plan = f.move_bucket(0, B);
        f.deliver_to_all(&Event::Plan(plan));
        f.run(ms(20));
        let clients: Vec<_> = (0..20).map(|i| f.client_in(0, 1_000 * i)).collect();
        for client in &clients {
            f.send((victim + 1) % 3, syn(*client));
        }
        f.run(ms(10));
        assert!(f.open_buckets() > 0);
        f.kill(victim, ms(20));
        for client in clients {
            send_to_all(&mut f, client, 1);
            assert_eq!(f.targets(client), [B], "client {client} victim {victim}");
        }
    }
}

#[test]
fn target_that_leaves_and_returns_keeps_its_flows() {
    let mut f = fabric(3);
    let old = f.client_in(0, 0);
    f.send(0, syn(old));
    let mut clients = vec![(old, A)];
    for (target, from) in [(B, 1_000), (A, 2_000), (C, 3_000), (A, 4_000)] {
        let plan = f.move_bucket(0, target);
        f.deliver_to_all(&Event::Plan(plan));
        f.run(ms(500));
        let client = f.client_in(0, from);
        f.spray(syn(client));
        clients.push((client, target));
        f.run(ms(10));
    }
    for (client, target) in clients {
        send_to_all(&mut f, client, 1);
        assert_eq!(f.targets(client), [target], "client {client}");
    }
}

#[test]
fn stopped_target_gets_no_new_flow_after_three_seconds_of_silent_peers() {
    let mut f = fabric(3);
    let mut rows = rows(3);
    rows[0].state = TargetState::Stopped;
    let table = f.edit(&rows);
    f.deliver_to_all(&Event::Table(table));
    let plan = f.replan();
    f.deliver(0, Event::Plan(plan));
    f.run(ms(3_000));
    for client in 0..500 {
        f.spray(syn(client));
    }
    f.run(ms(10));
    assert!((0..500).all(|c| f.targets(c) == [B] || f.targets(c) == [C]));
}

#[test]
fn stopped_target_gets_no_new_flow_where_the_stop_is_known() {
    let mut f = fabric(3);
    let mut rows = rows(3);
    rows[0].state = TargetState::Stopped;
    let table = f.edit(&rows);
    f.deliver_to_all(&Event::Table(table));
    f.run(ms(3_000));
    for client in 0..500 {
        f.spray(syn(client));
    }
    f.run(ms(10));
    assert!((0..500).all(|c| f.targets(c) == [B] || f.targets(c) == [C]));
}

#[test]
fn dead_target_gets_no_new_flow_and_the_others_share_them() {
    let mut f = fabric(3);
    f.deliver_to_all(&Event::TargetDown {
        target: A,
        agreed_at: f.now,
    });
    for client in 0..600 {
        f.spray(syn(client));
        f.run(ms(3));
        f.spray(data(client, 1));
    }
    f.run(ms(10));
    let on = |t| (0..600).filter(|c| f.targets(*c) == [t]).count();
    assert_eq!(on(A), 0);
    assert_eq!(on(B) + on(C), 600);
    assert!(on(B) > 200 && on(C) > 200, "{} {}", on(B), on(C));
}

#[test]
fn flows_of_a_dead_target_survive_each_change_of_their_owners() {
    let mut f = Fabric::new(3, 3, 4);
    let agreed_at = f.now;
    f.deliver_to_all(&Event::TargetDown {
        target: A,
        agreed_at,
    });
    f.run_flows(0..300, 3);
    for (dead, wait) in [(0, 15_000), (1, 15_000), (2, 15_000)] {
        let oldest = f.live()[0];
        f.join(oldest);
        f.run(ms(wait));
        f.kill(dead, ms(1_000));
        f.run(ms(wait));
    }
    assert!((0..300).all(|c| f.targets(c) == [B] || f.targets(c) == [C]));
    f.assert_targets_kept(0..300, "all owners replaced");
}

#[test]
fn balancer_that_learns_of_a_newer_plan_asks_before_it_decides() {
    let mut f = fabric(3);
    let plan = f.move_bucket(0, B);
    f.deliver(0, Event::Plan(plan.clone()));
    f.deliver(1, Event::Plan(plan));
    // After the deadline the first two balancers place new flows by the plan.
    // The third has learned that they prepared it, but has not received it.
    f.run(ms(31_000));
    let clients: Vec<_> = (0..30).map(|i| f.client_in(0, 1_000 * i)).collect();
    for client in clients {
        f.send(0, syn(client));
        f.run(ms(10));
        send_to_all(&mut f, client, 1);
        assert_eq!(f.targets(client).len(), 1, "client {client}");
    }
}

#[test]
fn lost_and_late_relays_never_split_a_flow() {
    for seed in 0..10 {
        let mut f = Fabric::new(4, 3, seed);
        f.loss = 100;
        f.delay = ms(80);
        for client in 0..200 {
            f.spray(syn(client));
        }
        f.run(ms(500));
        for (step, target) in [A, B, C, A].into_iter().enumerate() {
            for bucket in 0..8 {
                f.move_bucket(bucket, target);
            }
            let plan = f.plan.clone();
            for index in 0..4 {
                let delay = ms(f.now.as_millis() as u64 % 7 * 30 * index as u64);
                f.deliver_later(index, delay, Event::Plan(plan.clone()));
            }
            for client in 0..200 + 100 * step as u32 {
                f.spray(data(client, step as u32));
            }
            for client in 200 + 100 * step as u32..300 + 100 * step as u32 {
                f.spray(syn(client));
            }
            f.run(ms(300));
        }
        for client in 0..600 {
            assert!(f.targets(client).len() <= 1, "client {client} seed {seed}");
        }
    }
}

#[test]
fn versions_only_rise() {
    let mut f = fabric(1);
    let old = (f.table.clone(), f.plan.clone());
    let table = f.edit(&rows(2));
    let plan = f.replan();
    f.deliver_to_all(&Event::Table(table));
    f.deliver_to_all(&Event::Plan(plan));
    f.deliver_to_all(&Event::Table(old.0));
    f.deliver_to_all(&Event::Plan(old.1));
    let core = &f.balancers[0].core;
    assert_eq!(core.table().version, f.table.version);
    assert_eq!(core.plan_version(SERVICE), Some(f.plan.version));
}

#[test]
fn full_targets_are_skipped_and_a_full_service_refuses() {
    let limited = (0..2).map(|t| {
        let mut row = row(t, Protocol::Tcp);
        row.max_connections = 10;
        row
    });
    let mut f = Fabric::with(1, limited.collect(), 1, CoreConfig::default());
    for client in 0..200 {
        f.send(0, syn(client));
    }
    let on = |t| (0..200).filter(|c| f.targets(*c) == [t]).count();
    assert_eq!((on(A), on(B)), (10, 10));
    assert_eq!(f.refused.len(), 180);
    assert_eq!(node(0), f.balancers[0].core.node());
}
